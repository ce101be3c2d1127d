"""The users' platform: names, formats and calls, decoded into our types.

Nothing here decides. Everything outside works with the decoded types and
does not know a name of the wire.
"""

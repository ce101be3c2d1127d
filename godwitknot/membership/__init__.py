"""Fleet membership: the directory of nodes and how it is kept in sync.

Imports ``control`` and ``storage``.
"""

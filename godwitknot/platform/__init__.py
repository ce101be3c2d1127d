"""Adapter to the users' platform: its names, formats and calls.

It only translates between the platform's formats and the types of ``mesh``.
No other package uses the names of the platform's protocol.
"""

"""Accounting of the bytes that a node holds.

Decides when to stop reading and what to refuse; does no network I/O. Imports
no other package.
"""

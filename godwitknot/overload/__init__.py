"""Decisions under overload: admission order, Retry-After, hung requests.

Handles no requests and does no network I/O. Imports no other package.
"""

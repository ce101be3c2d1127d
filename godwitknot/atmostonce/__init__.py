"""Idempotency keys: issued tickets, claims, and stored responses.

Imports ``storage`` and ``web``.
"""

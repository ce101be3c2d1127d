"""Idempotency keys: issued tickets, claims, and the results that are kept.

Imports ``storage`` and ``web``.
"""

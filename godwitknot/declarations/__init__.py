"""Parsing and validation of the declarations and node settings.

Imports only the base modules and ``storage``.
"""

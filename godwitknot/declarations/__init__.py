"""What operators write: declarations, settings, and their checks.

Imports only the base modules and ``storage``.
"""

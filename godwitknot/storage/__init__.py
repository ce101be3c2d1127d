"""The platform's table service and object store of the first interface.

Imports only the base modules.
"""

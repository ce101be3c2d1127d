"""Client accounts: keys, priorities and quotas over all nodes.

Decides on keys and quotas; handles no requests and does no network I/O.
Imports no other package.
"""

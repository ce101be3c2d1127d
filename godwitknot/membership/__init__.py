"""Who is in the fleet: the directory of nodes and how news of it spreads.

Imports ``control`` and ``storage``.
"""

"""HTTP of a node: servers, connections, headers, and the hop between nodes.

Imports only the base modules.
"""

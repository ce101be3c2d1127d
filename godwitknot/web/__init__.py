"""HTTP of a node: servers, connections, headers and relaying between nodes.

It imports only the modules at the top of godwitknot.
"""

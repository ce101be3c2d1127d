"""The way of a request: ingress, choice of a server, hop, and sidecar.

Imports all of the other packages but ``assembly``.
"""

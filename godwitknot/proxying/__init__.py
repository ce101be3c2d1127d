"""The way of a request: ingress, choice of a server, hop, and sidecar.

Imports ``servers``, ``atmostonce``, ``membership`` and what stands below.
"""

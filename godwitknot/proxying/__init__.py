"""The request path: ingress, load balancing, hop and sidecar.

Imports ``servers``, ``atmostonce``, ``membership`` and the layers below.
"""

"""The mesh node, which runs next to each server on the users' platform.

It handles requests (entry, dispatch, gate, sidecar, relay), shares member
records with other nodes (memberdirectory, peergossip, storesync) and keeps
the configuration. It uses the platform only through the abstract classes of
``interfaces``.
"""

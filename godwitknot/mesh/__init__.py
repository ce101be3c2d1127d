"""The mesh node, which runs next to each server on the users' platform.

It handles requests (frontend, dispatcher, relayclient, noderelay,
admissioncontrol, serverproxy), shares member records with other nodes (memberdirectory,
peergossip) and keeps the configuration (storesync). It uses the platform only
through the abstract classes of ``interfaces``.
"""

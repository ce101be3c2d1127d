"""The node that runs beside each server on the users' platform.

It owns the way of a request (entry, dispatch, hop, gate), what nodes know
of each other (directory, spreading) and the copy of the configuration. It
speaks to the platform only through the abstract classes of ``ports``.
"""

"""Signed control messages between nodes over UDP.

Imports only the base modules.
"""

"""Backend servers of this node: admission, runs, probes and planned stops.

Imports ``web``, ``health`` and what they import.
"""

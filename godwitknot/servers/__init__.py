"""The local backend servers: admission, runs, probes, and planned stops.

Imports ``web``, ``health`` and what they import.
"""

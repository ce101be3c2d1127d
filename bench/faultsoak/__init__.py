"""Randomized faults from outside against nodes of the users' platform.

``fleet`` starts the real program of each node behind relays, ``faults``
holds what goes wrong and ``script`` draws it, ``callers`` sends requests over connections that are
kept, and ``promises`` checks what callers and servers saw.
"""

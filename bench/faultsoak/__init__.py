"""Randomized fault injection into mesh nodes, which run as processes.

``fleet`` starts each node behind relays, ``faults`` defines the events and
``script`` draws them, ``callers`` sends requests over persistent
connections, and ``promises`` checks what callers and servers observed.
"""

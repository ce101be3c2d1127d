"""Plays gray failures against the decisions of nodes, without a network.

The request path of each node is the real one: selection, admission, health,
retry budget. Servers and links are simulated, and time advances from event
to event, so that results are trials.
"""

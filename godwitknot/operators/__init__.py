"""The operator's interface: port, client, error budgets and text output.

Imports ``declarations`` and ``control``.
"""

"""The operator's interface: commands, port, error budgets, and texts.

Imports ``declarations`` and ``control``.
"""

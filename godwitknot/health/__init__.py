"""Server health: outlier detection, ejection, reinstatement and floors.

Decides on the state of servers but handles no requests; imports
``declarations``, ``control``, ``membership``.
"""

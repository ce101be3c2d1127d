"""Evidence on servers, and what follows: ejection, return, and floors.

Decides without doing; imports ``declarations``, ``control``, ``membership``.
"""

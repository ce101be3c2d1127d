"""The configuration in force: commits, adoption and polling of the store.

Imports ``declarations``, ``storage`` and ``operators``.
"""

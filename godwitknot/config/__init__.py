"""The configuration in force: commit, adoption, and polling of the store.

Imports ``declarations``, ``storage`` and ``operators``.
"""

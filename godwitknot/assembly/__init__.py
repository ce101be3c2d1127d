"""Builds a node from the parts of the other packages."""

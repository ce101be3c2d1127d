"""One node, built from the parts of all other packages."""

"""Measurements of godwitknot."""

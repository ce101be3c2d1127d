"""Proxy fleet for backend servers that fail gray."""

__version__ = '0.1.0'

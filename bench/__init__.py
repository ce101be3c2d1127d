"""Demonstration sessions, measurements and soak tests."""

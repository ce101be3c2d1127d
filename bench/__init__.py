"""Sessions, measurements and soak runs with real processes."""

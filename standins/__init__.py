"""Stand-ins for the systems that a fleet meets; for tests and benches."""

"""Stand-ins of the systems around ledgeladder, for tests and benchmarks."""

"""Small stand-ins of the systems that ledgeladder serves, for tests and measurements."""

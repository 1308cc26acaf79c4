"""Benchmarks, which are run manually and not by the tests."""

"""Benchmarks: run by hand, reported in the documentation, never part of the tests."""

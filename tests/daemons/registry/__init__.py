"""Tests of registry modules without processes."""

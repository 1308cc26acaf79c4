"""Tests of the entry process."""

"""Slopes behind docs/CAPACITY.md."""

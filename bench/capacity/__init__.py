"""Capacity measurements for docs/CAPACITY.md."""

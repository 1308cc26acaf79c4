"""A router for language-model pipelines over mixed accelerators."""

# Imports nothing: SIGHUP ends a process until the first line of `__main__`, which runs after this.
__version__ = "0.1.0"

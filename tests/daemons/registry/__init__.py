"""Parts of a registry without processes."""

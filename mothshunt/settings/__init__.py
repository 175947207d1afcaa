"""Settings of one instance, read from a JSON file."""

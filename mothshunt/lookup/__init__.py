"""Look-ups, by which callers learn which entry instances to use."""

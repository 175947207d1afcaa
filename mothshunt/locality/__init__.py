"""Locality of objects: whether callers of one region or of several request them."""

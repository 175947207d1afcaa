"""Hashing, validation and encoding functions that several slices use."""

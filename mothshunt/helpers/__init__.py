"""Asynchronous utilities that several slices use."""

"""Asynchronous building blocks that several slices share."""

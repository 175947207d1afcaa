"""Targets that announced themselves."""

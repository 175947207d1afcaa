"""Authenticated message streams between instances."""

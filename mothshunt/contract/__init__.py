"""Contracts, which operators write for each customer, and their checks."""

"""Targets that announce themselves to entry instances under a contract."""

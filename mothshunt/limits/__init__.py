"""Leased shares of the limits that a contract sets."""

"""Leased shares of the limits that contracts set on traffic."""

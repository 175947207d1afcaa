"""Measurements; each module with a ``run`` function is one of them."""

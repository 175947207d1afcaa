"""Replicated log kept by the control instances."""

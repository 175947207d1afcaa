"""Targets that renew themselves at the control instances."""

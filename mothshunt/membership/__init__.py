"""Instances of the deployment: which exist and which are reachable."""

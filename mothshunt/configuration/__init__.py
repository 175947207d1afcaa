"""Replicated configuration of the deployment and its delivery to all instances."""

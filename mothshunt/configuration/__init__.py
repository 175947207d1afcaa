"""Replicated configuration and its delivery to every instance."""

"""Forwarding of requests by routes."""

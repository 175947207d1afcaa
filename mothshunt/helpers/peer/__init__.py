"""Authenticated streams of typed messages between instances."""

"""Loads of targets that entry instances learned, shared by way of control instances."""

"""Operators, their tokens and their roles."""

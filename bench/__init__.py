"""Measurements, each in a module with a function ``main(quick)``."""

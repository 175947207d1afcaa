"""Types, result codes and interfaces that all slices use.

A slice is a package with one feature, such as ``limits`` or ``drain``: its model,
constants, result codes and coordinators.
"""

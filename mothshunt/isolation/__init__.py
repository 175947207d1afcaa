"""Detection of an entry instance that reaches no target, and relay by another one."""

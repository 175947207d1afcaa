"""Rate limits that targets name, shared by the entry instances by means of tokens."""

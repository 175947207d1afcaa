"""Choice of the target for each request, by affinity and load."""

"""Stand-ins for the systems around mothshunt, for tests, benches and trials."""

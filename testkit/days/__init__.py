"""Days of the users' bench: drawn from a seed, and what was played of them."""

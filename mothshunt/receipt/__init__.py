"""Receipt of calls that must not be run once their callers have gone elsewhere."""

"""Commands of the command line, by subject."""

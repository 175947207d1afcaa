"""Pure functions that several slices share."""

"""Tools of the developers; no part of what is installed."""

"""Types, codes and wiring that every slice plugs into."""

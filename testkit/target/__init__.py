"""Stand-in targets that announce themselves, keep records and can misbehave."""

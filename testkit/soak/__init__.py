"""A randomized soak of the routed programs as processes, with faults from outside."""

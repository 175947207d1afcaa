"""Registry of the targets that renew themselves at the control instances."""

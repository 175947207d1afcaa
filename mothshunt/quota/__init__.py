"""Quotas of workspaces, shared by the entry instances by means of tokens."""

"""Forwarding of requests under a customer's contract, with retries and at-most-once."""

"""Idempotency keys, stored durably so that each request runs at most once."""

"""Durable record of idempotency keys."""

"""Answers to callers that ask which entry instances to use."""

"""The contract that operators write for each customer."""

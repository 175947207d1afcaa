"""Hashes that are the same in all processes."""

import xxhash

#: Number of values that a hash may have.
HASH_RANGE = 1 << 64


def hash_text(text: str) -> int:
    """Return the 64-bit hash of a text (xxHash 64).

    :param text: The text.
    """
    return xxhash.xxh64_intdigest(text.encode())

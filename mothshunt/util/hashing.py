"""Hashes that are equal in all processes, unlike those of ``hash``."""

import xxhash

#: Number of possible hash values.
HASH_RANGE = 1 << 64


def hash_text(text: str) -> int:
    """Return the 64-bit hash of a text (xxHash 64).

    :param text: Text to hash, encoded as UTF-8; bytes of a header field that are not
        UTF-8 are in it as surrogates.
    """
    return xxhash.xxh64_intdigest(text.encode("utf-8", "surrogatepass"))

"""Tokens of operators."""

import hashlib
import secrets

from mothshunt.access.const import TOKEN_BYTES, TOKEN_PREFIX


def token_sha256(token: str) -> str:
    """Return the hash that is stored in place of a token.

    A hash without salt or key stretching is sufficient: a token has 256 random bits.

    :param token: Token to hash.
    :return: SHA-256 in hexadecimal digits.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def new_token() -> str:
    """Return a new random token."""
    return TOKEN_PREFIX + secrets.token_urlsafe(TOKEN_BYTES)

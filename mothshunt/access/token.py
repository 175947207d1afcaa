"""Tokens of operators."""

import hashlib
import secrets

from mothshunt.access.const import TOKEN_BYTES, TOKEN_PREFIX


def token_sha256(token: str) -> str:
    """Return the hash under which a token is kept.

    A plain hash is enough, as a token holds 256 random bits.

    :param token: The token.
    :return: SHA-256 in hexadecimal digits.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def new_token() -> str:
    """Return a new random token."""
    return TOKEN_PREFIX + secrets.token_urlsafe(TOKEN_BYTES)

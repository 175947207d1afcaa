"""Mutual authentication of both ends of a stream by the deployment key.

The layout is fixed, so that no data of an unauthenticated peer is decoded::

    acceptor: magic, acceptor nonce (32)
    dialler:  magic, dialler id (64), dialler nonce (32), mac (32)
    acceptor: acceptor id (64), mac (32)
"""

import asyncio
import hashlib
import hmac
import os

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId
from mothshunt.helpers.peer import codes, const

MAGIC = b"MSH\x01"
NONCE_BYTES = 32
ID_BYTES = 64
MAC_BYTES = 32
_STREAM_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    TimeoutError,
    UnicodeDecodeError,
)


async def async_accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own_id: InstanceId,
    key: bytes,
) -> Result[InstanceId, Failure]:
    """Authenticate the dialler of an accepted stream, then this instance to it.

    :param reader: Incoming half of the stream.
    :param writer: Outgoing half of the stream.
    :param own_id: Name of this instance.
    :param key: Deployment key.
    :return: Name of the dialler, or a failure with code 1101.
    """
    try:
        async with asyncio.timeout(const.HANDSHAKE_TIMEOUT_S):
            nonce = os.urandom(NONCE_BYTES)
            writer.write(MAGIC + nonce)
            size = len(MAGIC) + ID_BYTES + NONCE_BYTES + MAC_BYTES
            response = await reader.readexactly(size)
            magic, rest = response[: len(MAGIC)], response[len(MAGIC) :]
            raw_id, rest = rest[:ID_BYTES], rest[ID_BYTES:]
            peer_nonce, mac = rest[:NONCE_BYTES], rest[NONCE_BYTES:]
            expected_mac = _mac(key, b"dial", nonce, peer_nonce, raw_id)
            if magic != MAGIC or not hmac.compare_digest(mac, expected_mac):
                return _handshake_error("the dialler uses a different key or release")
            own = _pad(own_id)
            writer.write(own + _mac(key, b"accept", nonce, peer_nonce, own, raw_id))
            await writer.drain()
            return Ok(_unpad(raw_id))
    except _STREAM_ERRORS as error:
        return _handshake_error(f"the stream failed: {type(error).__name__}")


async def async_dial(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own_id: InstanceId,
    key: bytes,
) -> Result[InstanceId, Failure]:
    """Authenticate this instance on a dialled stream, then the acceptor.

    :param reader: Incoming half of the stream.
    :param writer: Outgoing half of the stream.
    :param own_id: Name of this instance.
    :param key: Deployment key.
    :return: Name of the acceptor, or a failure with code 1101.
    """
    try:
        async with asyncio.timeout(const.HANDSHAKE_TIMEOUT_S):
            challenge = await reader.readexactly(len(MAGIC) + NONCE_BYTES)
            if challenge[: len(MAGIC)] != MAGIC:
                return _handshake_error("the acceptor runs a different release")
            peer_nonce = challenge[len(MAGIC) :]
            nonce = os.urandom(NONCE_BYTES)
            own = _pad(own_id)
            mac = _mac(key, b"dial", peer_nonce, nonce, own)
            writer.write(MAGIC + own + nonce + mac)
            await writer.drain()
            answer = await reader.readexactly(ID_BYTES + MAC_BYTES)
            raw_id, mac = answer[:ID_BYTES], answer[ID_BYTES:]
            expected_mac = _mac(key, b"accept", peer_nonce, nonce, raw_id, own)
            if not hmac.compare_digest(mac, expected_mac):
                return _handshake_error("the acceptor uses a different key")
            return Ok(_unpad(raw_id))
    except _STREAM_ERRORS as error:
        return _handshake_error(f"the stream failed: {type(error).__name__}")


def _mac(key: bytes, *parts: bytes) -> bytes:
    return hmac.new(key, b"\x00".join(parts), hashlib.sha256).digest()


def _pad(instance: InstanceId) -> bytes:
    return instance.encode().ljust(ID_BYTES, b"\x00")


def _unpad(raw: bytes) -> InstanceId:
    return InstanceId(raw.rstrip(b"\x00").decode())


def _handshake_error(detail: str) -> Result[InstanceId, Failure]:
    return Error(Failure(code=codes.HANDSHAKE_FAILED, detail=detail))

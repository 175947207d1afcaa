"""Compression of large frames."""

import zlib

from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.helpers.peer import codes, const

#: Routes and targets resemble each other so much that more effort gains little.
_LEVEL = 1


def compress(data: bytes) -> bytes:
    """Return data in zlib format.

    :param data: Bytes of any kind.
    """
    return zlib.compress(data, _LEVEL)


def decompress(data: bytes, max_bytes: int = const.MAX_DECOMPRESSED_BYTES) -> bytes:
    """Return the data that was compressed.

    :param data: What ``compress`` returned.
    :param max_bytes: Most bytes that the result may have.
    :raises MothshuntError: With code 1102 where the result would be larger, and 1103
        where the data is damaged or incomplete.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise MothshuntError(
            Failure(code=codes.FRAME_MALFORMED, detail=str(error))
        ) from error
    if decompressor.unconsumed_tail:
        detail = f"over {max_bytes} bytes when decompressed"
        raise MothshuntError(Failure(code=codes.FRAME_TOO_LARGE, detail=detail))
    if not decompressor.eof:
        detail = "the compressed data is incomplete"
        raise MothshuntError(Failure(code=codes.FRAME_MALFORMED, detail=detail))
    return plain

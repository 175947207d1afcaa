"""Checks of the heads of responses, beyond those of aiohttp's parser.

For responses that parser is lenient, so that clients get along with faulty servers. A
proxy must not pass on what another recipient may read in a different way.
"""

from aiohttp.http_parser import RawResponseMessage

#: Range of valid statuses (RFC 9110, 15).
MIN_STATUS = 100
MAX_STATUS = 599


def find_head_error(message: RawResponseMessage) -> str | None:
    """Return why the head of a response is not valid; ``None`` if it is.

    :param message: The head, as aiohttp's parser read it.
    """
    if not MIN_STATUS <= message.code <= MAX_STATUS:
        return f"invalid status {message.code:03d}"
    return None

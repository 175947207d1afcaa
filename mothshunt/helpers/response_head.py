"""Checks of the heads of responses, beyond those of aiohttp's parser.

For responses that parser is lenient, so that clients get along with faulty servers. A
proxy must not pass on what another recipient may read in a different way.
"""

import re

from aiohttp.http_parser import RawResponseMessage

#: Range of valid statuses (RFC 9110, 15).
MIN_STATUS = 100
MAX_STATUS = 599
STATUS_SWITCHING_PROTOCOLS = 101

#: Characters of the names of fields (RFC 9110, 5.6.2).
_NAMES = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]*")
#: Control characters that neither values nor reason phrases may have (RFC 9110, 5.5).
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_CONTROL_BYTE = re.compile(_CONTROL.pattern.encode())
#: A status line and the byte after it.
_STATUS_LINE = re.compile(rb"(?P<line>[^\n]*)\n(?P<next>.)", re.DOTALL)
_VERSION = re.compile(rb"HTTP/1\.\d ")
_INFORMATIONAL = re.compile(rb"HTTP/1\.\d 1")
_LINE_ENDS = b"\r\n"
_WHITESPACE = b" \t"


def find_head_error(message: RawResponseMessage) -> str | None:
    """Return why the head of a response is not valid; ``None`` if it is.

    :param message: The head, as aiohttp's parser read it.
    """
    if not MIN_STATUS <= message.code <= MAX_STATUS:
        return f"invalid status {message.code:03d}"
    if message.code == STATUS_SWITCHING_PROTOCOLS:
        # Upgrade is not forwarded, so no request asks for it.
        return "unrequested switch of protocols (101)"
    if not _NAMES.fullmatch(b"".join(name for name, _ in message.raw_headers)):
        return "invalid name of a header field"
    if _CONTROL_BYTE.search(b"".join(value for _, value in message.raw_headers)):
        return "control character in a header field"
    if _CONTROL.search(message.reason):
        return "control character in the reason phrase"
    return None


class StatusLineReader:
    """Reader of the status line of a response, ahead of aiohttp's parser.

    That parser accepts status lines of some other protocols. It drops a space at the
    beginning of the next line, and takes that line for a header field, or for the end
    of the head if it has nothing else.
    """

    def __init__(self) -> None:
        self._received = b""
        self._is_complete = False
        #: Whether the status line is that of an informational response (1xx).
        self.is_informational = False

    def reset(self) -> None:
        """Expect another status line."""
        self._received = b""
        self._is_complete = False
        self.is_informational = False

    def find_error(self, data: bytes) -> str | None:
        """Return why the status line is not valid; ``None`` if it is so far.

        :param data: Next bytes of the response.
        """
        if self._is_complete:
            return None
        # Empty lines may precede a status line (RFC 9112, 2.2).
        received = (self._received + data).lstrip(_LINE_ENDS)
        match = _STATUS_LINE.match(received)
        if match is None:
            self._received = received
            return None
        self._received = b""
        self._is_complete = True
        line = match["line"]
        if not _VERSION.match(line):
            return "status line of another protocol than HTTP/1"
        if match["next"] in _WHITESPACE:
            return "whitespace after the status line"
        self.is_informational = _INFORMATIONAL.match(line) is not None
        return None

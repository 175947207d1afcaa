"""Plain HTTP requests for code that is not a coroutine."""

import json
import urllib.error
import urllib.request
from typing import Any

HTTP_TIMEOUT_S = 5.0


def http_get(url: str, timeout_s: float = HTTP_TIMEOUT_S) -> tuple[int, bytes]:
    """Return status and body of a GET; status 0 when there was no answer.

    :param url: What to get.
    :param timeout_s: Seconds to wait.
    """
    return http_send("GET", url, timeout_s=timeout_s)


def http_send(
    method: str,
    url: str,
    *,
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = HTTP_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Return status and body of a request; status 0 when there was no answer.

    :param method: HTTP method.
    :param url: Where to.
    :param document: Sent as JSON where given.
    :param headers: Headers of the request.
    :param timeout_s: Seconds to wait.
    """
    data = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""

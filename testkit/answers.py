"""Answer bodies that show whether they are whole and whose they are.

The first line is JSON with the request's id, and the length and SHA-256 of the rest.
"""

import hashlib
import json
from dataclasses import dataclass

_SEPARATOR = b"\n"


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Hold what the first line of a whole answer says.

    :param request_id: Id of the request that was answered.
    :param target: Target that ran the request.
    :param run_number: How many times this target has run the request.
    :param request_sha256: Hash of the request's body as the target read it.
    """

    request_id: str
    target: str
    run_number: int
    request_sha256: str


def make_payload(request_id: str, length: int) -> bytes:
    """Return bytes that differ from request to request.

    :param request_id: Id of the request.
    :param length: Bytes wanted.
    """
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (length // len(block) + 1))[:length]


def build(answer: Answer, payload: bytes) -> bytes:
    """Return the body of an answer.

    :param answer: What the first line says.
    :param payload: The rest of the body.
    """
    head = {
        "id": answer.request_id,
        "target": answer.target,
        "run_number": answer.run_number,
        "request_sha256": answer.request_sha256,
        "length": len(payload),
        "sha256": hashlib.sha256(payload).hexdigest(),
    }
    return json.dumps(head).encode() + _SEPARATOR + payload


def verify(body: bytes, request_id: str) -> Answer | None:
    """Return what a body says, or ``None`` unless it is the whole answer.

    :param body: Body as the caller received it.
    :param request_id: Id of the request that the caller sent.
    """
    head_text, separator, payload = body.partition(_SEPARATOR)
    if not separator:
        return None
    try:
        head = json.loads(head_text)
    except ValueError:
        return None
    if head["id"] != request_id or head["length"] != len(payload):
        return None
    if head["sha256"] != hashlib.sha256(payload).hexdigest():
        return None
    return Answer(
        request_id=request_id,
        target=head["target"],
        run_number=head["run_number"],
        request_sha256=head["request_sha256"],
    )

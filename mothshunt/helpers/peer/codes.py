"""Result codes of the streams between instances."""

from mothshunt.core.codes import ResultCode

HANDSHAKE_FAILED = ResultCode(
    number=1101,
    name="peer_handshake_failed",
    http_status=403,
    summary="The peer did not prove that it has the deployment key.",
    action="Give all instances the same deployment key and the right addresses.",
)
FRAME_TOO_LARGE = ResultCode(
    number=1102,
    name="peer_frame_too_large",
    http_status=400,
    summary="A peer sent a frame over the size limit; its stream was closed.",
    action="Check that all instances run the same release.",
)
FRAME_MALFORMED = ResultCode(
    number=1103,
    name="peer_frame_malformed",
    http_status=400,
    summary="A peer sent a frame that can't be decoded; its stream was closed.",
    action="Check that all instances run the same release.",
)
NOT_CONNECTED = ResultCode(
    number=1105,
    name="peer_not_connected",
    http_status=503,
    summary="There is no stream to the peer; the message was not sent.",
    action="Check that the peer is running and reachable.",
)
NO_ANSWER = ResultCode(
    number=1106,
    name="peer_no_answer",
    http_status=504,
    summary="The peer did not respond; it may have received the message.",
    action="Check the load of the peer and the network between the two instances.",
)
PEER_SILENT = ResultCode(
    number=1107,
    name="peer_silent",
    http_status=503,
    summary="A peer sent nothing for too long; its stream was closed.",
    action="Check the network between the two instances; the stream is reopened.",
)
HANDSHAKE_RATE = ResultCode(
    number=1108,
    name="peer_handshake_rate",
    http_status=503,
    summary="Too many peers connected at the same time; this one must retry.",
    action="None if a region has just recovered: the limit spreads the reconnections.",
)

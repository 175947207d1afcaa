"""Messages by which rate limits and tokens are exchanged."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from mothshunt.core.types import Incarnation, TargetId
from mothshunt.util.wire import message

_Rate = Annotated[float, Field(ge=0, lt=1e12)]
_Milliseconds = Annotated[int, Field(ge=0)]
_Incarnation = Annotated[Incarnation, Field(ge=0, lt=2**63)]


@message("rate_limit.seen")
@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitSeen:
    """Report of an entry instance on the rate limit that a target has named.

    :param target: The target.
    :param incarnation: Its incarnation.
    :param per_s: Requests a second; ``None`` if it names no limit any more.
    :param age_ms: Time since the response that said so, in milliseconds.
    """

    target: TargetId
    incarnation: _Incarnation
    per_s: _Rate | None
    age_ms: _Milliseconds


@message("rate_limit.news")
@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitNews:
    """Message of a control instance to entry instances that a rate limit has changed.

    :param target: The target.
    :param incarnation: Its incarnation.
    :param per_s: Requests a second; ``None`` if it names no limit any more.
    :param age_ms: Time since the response that said so, in milliseconds.
    """

    target: TargetId
    incarnation: _Incarnation
    per_s: _Rate | None
    age_ms: _Milliseconds


@message("rate_limit.token_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class TokenRequest:
    """Request of an entry instance for a token, which permits one request to a target.

    :param target: The target.
    :param incarnation: Its incarnation.
    :param per_s: Its rate limit as the entry instance knows it, in requests a second.
    :param age_ms: Time since the response that named it, in milliseconds.
    """

    target: TargetId
    incarnation: _Incarnation
    per_s: _Rate
    age_ms: _Milliseconds


@message("rate_limit.token_reply")
@dataclass(frozen=True, kw_only=True, slots=True)
class TokenReply:
    """Answer to a token request.

    :param is_granted: Whether the request may be sent.
    :param retry_after_ms: Time until the next token, in milliseconds; 0 if one was
        granted.
    :param news: Rate limit that is newer than that of the request; ``None`` if the
        control instance knows of none.
    """

    is_granted: bool
    retry_after_ms: _Milliseconds = 0
    news: RateLimitNews | None = None

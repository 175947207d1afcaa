"""Messages by which rate limits and tokens are exchanged."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from mothshunt.core.types import Incarnation, TargetId
from mothshunt.rate_limit.model import RateLimit
from mothshunt.util.wire import message

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitReport:
    """Rate limit of a target as instances send it to each other.

    Clocks of different instances are not compared, so it carries its age.

    :param target: The target.
    :param incarnation: Its incarnation.
    :param per_s: Requests a second; ``None`` if it names no limit any more.
    :param age_ms: Time since the response that said so, in milliseconds.
    """

    target: TargetId
    incarnation: Annotated[Incarnation, Field(ge=0, lt=2**63)]
    per_s: Annotated[float, Field(ge=0, lt=1e12)] | None
    age_ms: Annotated[int, Field(ge=0)]

    @classmethod
    def from_limit(
        cls, target: TargetId, limit: RateLimit, now: float
    ) -> "LimitReport":
        """Return the report on a limit.

        :param target: Name of the target.
        :param limit: Its limit.
        :param now: The present time, in seconds.
        """
        age_s = max(0.0, now - limit.observed_at)
        return cls(
            target=target,
            incarnation=limit.incarnation,
            per_s=limit.per_s,
            age_ms=round(age_s * MILLISECONDS_PER_SECOND),
        )

    def limit(self, now: float) -> RateLimit:
        """Return the reported limit, with a time of this instance's clock.

        :param now: Time at which the report was received, in seconds.
        """
        return RateLimit(
            incarnation=self.incarnation,
            per_s=self.per_s,
            observed_at=now - self.age_ms / MILLISECONDS_PER_SECOND,
        )


@message("rate_limit.seen")
@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitSeen:
    """Message of an entry instance that a target has named or withdrawn a rate limit.

    :param report: The limit.
    """

    report: LimitReport


@message("rate_limit.news")
@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitNews:
    """Message of a control instance to entry instances that a rate limit has changed.

    :param report: The limit.
    """

    report: LimitReport


@message("rate_limit.token_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class TokenRequest:
    """Request of an entry instance for a token, which permits one request to a target.

    :param report: Rate limit of the target as the entry instance knows it.
    """

    report: LimitReport


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
    retry_after_ms: Annotated[int, Field(ge=0)] = 0
    news: LimitReport | None = None

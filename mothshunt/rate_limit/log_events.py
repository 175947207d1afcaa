"""Log lines of the rate_limit slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.core.types import (
    Incarnation,
    TargetId,
)
from mothshunt.helpers.log import log_event


@log_event("rate limit", slice_name="rate_limit")
@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitChanged:
    """Rate limit of a target that has begun, changed or ended.

    :param target: The target.
    :param incarnation: Incarnation of the target.
    :param per_s: Requests a second that it accepts from all entry instances together;
        none if the limit has ended.
    :param before_per_s: The limit before; none if there was none.
    :param source: `response` if a response of the target said so; else the control
        instance that did.
    """

    target: TargetId
    incarnation: Incarnation
    per_s: float | None = None
    before_per_s: float | None = None
    source: str


@log_event("rate limited", slice_name="rate_limit")
@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimitReport:
    """Use of a target that names a rate limit, by this instance since the last line.

    :param target: The target.
    :param per_s: Requests a second that it accepts from all entry instances together.
    :param sent: Requests that this instance sent to it.
    :param denied: Requests that it did not send there, as it got no token for them.
    """

    target: TargetId
    per_s: float | None
    sent: int
    denied: int

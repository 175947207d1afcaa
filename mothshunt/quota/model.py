"""Types of the quota slice."""

from dataclasses import dataclass
from enum import Enum

from mothshunt.core.codes import Failure
from mothshunt.core.types import WorkspaceName


@dataclass(frozen=True, kw_only=True, slots=True)
class Quota:
    """Quota of a workspace over all entry instances.

    :param per_s: Requests a second; 0 for no limit.
    :param burst: Requests that may exceed the rate at a time.
    """

    per_s: float
    burst: float


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaDecision:
    """Decision on a request of a workspace.

    :param workspace: The workspace.
    :param failure: Reason of a rejection; ``None`` if the request is admitted.
    :param valid_until: Time up to which it may be sent, in seconds.
    """

    workspace: WorkspaceName
    failure: Failure | None = None
    valid_until: float = float("-inf")

    @property
    def is_admitted(self) -> bool:
        """Whether the request may be sent."""
        return self.failure is None


class IssueState(Enum):
    """Whether a control instance can issue tokens for a workspace."""

    #: It issues; the answer to a token request tells how many.
    ISSUING = "issuing"
    #: It doesn't know the workspace.
    UNKNOWN = "unknown"
    #: It isn't sure that it is one of the control instances.
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True, kw_only=True, slots=True)
class IssueDecision:
    """Decision of a control instance on a token request.

    :param state: Whether it can issue tokens.
    :param granted: Number of tokens.
    :param next_token_s: Time until the next token, in seconds; 0 if there is one.
    :param retry_after_s: Time after which the caller of a request that got no token may
        retry, in seconds. It grows with the requests that were denied before.
    """

    state: IssueState
    granted: int = 0
    next_token_s: float = 0.0
    retry_after_s: float = 0.0


class TokenRequestResult(Enum):
    """Result of a token request of an entry instance."""

    GRANTED = "granted"
    DENIED = "denied"
    NOT_ISSUED = "not_issued"
    NO_ANSWER = "no_answer"

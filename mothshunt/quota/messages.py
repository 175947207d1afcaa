"""Messages by which tokens of quotas are exchanged."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from mothshunt.core.types import WorkspaceName
from mothshunt.quota.model import IssueDecision, IssueState
from mothshunt.util.wire import message

MILLISECONDS_PER_SECOND = 1000
#: Most tokens that a message may ask for, for waiting requests and ahead of need each.
MAX_COUNT = 100_000


@message("quota.token_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaTokenRequest:
    """Request of an entry instance for tokens, each of which permits one request.

    :param workspace: The workspace.
    :param needed: Number of waiting requests.
    :param extra: Number of tokens wanted ahead of need.
    """

    workspace: WorkspaceName
    needed: Annotated[int, Field(ge=0, le=MAX_COUNT)]
    extra: Annotated[int, Field(ge=0, le=MAX_COUNT)] = 0


@message("quota.token_reply")
@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaTokenReply:
    """Answer to a request for tokens.

    :param state: Whether the control instance can issue tokens for the workspace.
    :param granted: Number of tokens.
    :param next_token_ms: Time until the next token, in milliseconds; 0 if there is one.
    :param retry_after_ms: Time after which the caller of a request that got no token
        may retry, in milliseconds.
    """

    state: IssueState
    granted: Annotated[int, Field(ge=0)] = 0
    next_token_ms: Annotated[int, Field(ge=0)] = 0
    retry_after_ms: Annotated[int, Field(ge=0)] = 0

    @classmethod
    def from_decision(cls, decision: IssueDecision) -> "QuotaTokenReply":
        """Return the answer that tells a decision.

        :param decision: The decision.
        """
        return cls(
            state=decision.state,
            granted=decision.granted,
            next_token_ms=round(decision.next_token_s * MILLISECONDS_PER_SECOND),
            retry_after_ms=round(decision.retry_after_s * MILLISECONDS_PER_SECOND),
        )

    def decision(self) -> IssueDecision:
        """Return the decision that the answer tells."""
        return IssueDecision(
            state=self.state,
            granted=self.granted,
            next_token_s=self.next_token_ms / MILLISECONDS_PER_SECOND,
            retry_after_s=self.retry_after_ms / MILLISECONDS_PER_SECOND,
        )

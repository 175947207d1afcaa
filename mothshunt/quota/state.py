"""Deciding functions of a control instance on quotas, without any I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mothshunt.core.types import WorkspaceName
from mothshunt.quota import const
from mothshunt.quota.model import IssueDecision, IssueState, Quota
from mothshunt.util.tokens import TokenBucket


def bucket_capacity(quota: Quota, share: float) -> float:
    """Return the largest number of tokens that a control instance holds.

    Tokens beyond the share of the burst make up for the fractions of a token that all
    control instances hold and none can issue, and for uneven use.

    :param quota: The quota.
    :param share: Share of each quota that the control instance issues.
    """
    return const.SPARE_TOKENS + quota.burst * share


def initial_tokens(quota: Quota, share: float) -> float:
    """Return the number of tokens with which a control instance starts.

    All control instances may restart within one window, right after each has issued all
    that it held. What they start with together is what the bound leaves: overage of the
    burst and slack, without the tokens that buckets hold beyond their share of the
    burst.

    :param quota: The quota.
    :param share: Share of each quota that the control instance issues; above 0.
    """
    room = (const.OVERAGE * quota.burst + const.SLACK) * share - const.SPARE_TOKENS
    return min(bucket_capacity(quota, share), max(0.0, room))


@dataclass(slots=True)
class _Account:
    """Quota of a workspace at one control instance, with its tokens.

    :param quota: The quota in force here.
    :param bucket: Tokens; ``None`` until the instance may issue any.
    :param retry_at: Time that was last stated to the caller of a denied request, in
        seconds.
    :param removed_at: Time at which the workspace was removed, in seconds; ``None`` if
        it exists.
    """

    quota: Quota
    bucket: TokenBucket | None = None
    retry_at: float = float("-inf")
    removed_at: float | None = None

    def refill(self, share: float, now: float) -> TokenBucket:
        """Add the tokens of the time since the last call.

        :param share: Share of each quota that this instance issues; above 0.
        :param now: The present time, in seconds.
        """
        if self.bucket is None:
            self.bucket = TokenBucket(now, initial_tokens(self.quota, share))
        rate_per_s = self.quota.per_s * share
        self.bucket.refill(rate_per_s, bucket_capacity(self.quota, share), now)
        return self.bucket


@dataclass(slots=True)
class QuotaIssuer:
    """Tokens that one control instance issues for the workspaces that have a quota.

    Each control instance issues a fixed share of a quota, so that control instances
    that are partitioned from each other can't exceed it together.
    """

    _account_by_workspace: dict[WorkspaceName, _Account] = field(default_factory=dict)
    _share: float = 0.0
    _starts_full: bool = False

    @property
    def has_quotas(self) -> bool:
        """Whether any workspace has a quota."""
        accounts = self._account_by_workspace.values()
        return any(a.removed_at is None and a.quota.per_s > 0 for a in accounts)

    def set_share(self, share: float, now: float, *, starts_full: bool) -> None:
        """Take a changed share of each quota; tokens so far come by the one before.

        :param share: Share of each quota that this instance issues; 0 for none.
        :param now: The present time, in seconds.
        :param starts_full: Whether the bucket of a workspace that is set from now on is
            full: no token can have been issued for it before.
        """
        self._starts_full = starts_full
        if share == self._share:
            return
        self._refill_all(now)
        self._share = share
        for account in self._account_by_workspace.values():
            if account.bucket is not None:
                # No tokens come for a time without a share; less burst takes effect
                # at once.
                account.bucket.updated_at = max(account.bucket.updated_at, now)
        self._refill_all(now)

    def set_quotas(
        self, quota_by_workspace: Mapping[WorkspaceName, Quota], now: float
    ) -> None:
        """Take the quotas of a changed configuration.

        Tokens so far come by the quotas before, and what a bucket holds beyond a lower
        burst is dropped.

        :param quota_by_workspace: Quotas of all workspaces.
        :param now: The present time, in seconds.
        """
        self._refill_all(now)
        for name, quota in quota_by_workspace.items():
            account = self._account_by_workspace.get(name)
            if account is None:
                account = _Account(quota)
                if self._starts_full and self._share > 0:
                    capacity = bucket_capacity(quota, self._share)
                    account.bucket = TokenBucket(now, capacity)
                self._account_by_workspace[name] = account
            else:
                account.quota, account.removed_at = quota, None
        for name, account in list(self._account_by_workspace.items()):
            if name in quota_by_workspace:
                continue
            if account.removed_at is None:
                account.removed_at = now
            elif now - account.removed_at > const.REMOVED_RETENTION_S:
                del self._account_by_workspace[name]
        self._refill_all(now)

    def _refill_all(self, now: float) -> None:
        if self._share > 0:
            for account in self._account_by_workspace.values():
                account.refill(self._share, now)

    def take_tokens(
        self, workspace: WorkspaceName, needed: int, extra: int, now: float
    ) -> IssueDecision:
        """Take tokens as far as there are any.

        :param workspace: Name of the workspace.
        :param needed: Number of requests that wait for a token.
        :param extra: Number of tokens wanted ahead of need. They come only from what is
            above the part that is kept for waiting requests.
        :param now: The present time, in seconds.
        """
        account = self._account_by_workspace.get(workspace)
        if account is None or account.removed_at is not None:
            return _not_issued(IssueState.UNKNOWN)
        if account.quota.per_s <= 0:
            return IssueDecision(state=IssueState.ISSUING, granted=needed + extra)
        if self._share <= 0:
            return _not_issued(IssueState.UNCONFIRMED)
        bucket = account.refill(self._share, now)
        granted = bucket.take(needed)
        capacity = bucket_capacity(account.quota, self._share)
        surplus = int(bucket.level - const.RESERVED_PART * capacity)
        granted += bucket.take(min(extra, max(0, surplus)))
        next_token_s = max(
            0.0, bucket.next_token_s(account.quota.per_s * self._share, now)
        )
        if granted >= needed:
            return IssueDecision(
                state=IssueState.ISSUING, granted=granted, next_token_s=next_token_s
            )
        return IssueDecision(
            state=IssueState.ISSUING,
            granted=granted,
            next_token_s=next_token_s,
            retry_after_s=self._next_retry_s(
                account, needed - granted, next_token_s, now
            ),
        )

    @staticmethod
    def _next_retry_s(
        account: _Account, denied: int, next_token_s: float, now: float
    ) -> float:
        """Return when the callers of denied requests may retry, in seconds from now.

        Callers that are denied one after the other get times one token of all control
        instances apart, so that they don't all come for the same token.
        """
        first = max(now + next_token_s, account.retry_at)
        account.retry_at = min(
            first + denied / account.quota.per_s, now + const.MAX_RETRY_S
        )
        return max(next_token_s, account.retry_at - now)


def _not_issued(state: IssueState) -> IssueDecision:
    return IssueDecision(
        state=state,
        next_token_s=const.UNAVAILABLE_RETRY_S,
        retry_after_s=const.UNAVAILABLE_RETRY_S,
    )

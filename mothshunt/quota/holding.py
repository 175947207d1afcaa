"""Deciding functions of an entry instance on quotas, without any I/O."""

import math
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import InstanceId, WorkspaceName
from mothshunt.quota import codes, const
from mothshunt.quota.model import IssueDecision, IssueState, QuotaDecision
from mothshunt.util.tokens import TokenSources


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenDemand:
    """Tokens to ask a control instance for.

    :param control: The control instance.
    :param needed: Number of waiting requests.
    :param extra: Number of tokens wanted ahead of need.
    """

    control: InstanceId
    needed: int
    extra: int


@dataclass(slots=True)
class HeldTokens:
    """Tokens of one workspace at one entry instance, and its recent requests.

    :param rate_per_s: Requests a second of late.
    :param closed_until: Time until which requests are rejected without asking, in
        seconds.
    :param retry_at: Earliest time that the control instances stated to callers of
        denied requests, in seconds.
    :param denied_until_by_control: Time of the next token of each control instance that
        has denied some, in seconds.
    :param prefetch_at: Time from which on tokens may be asked for ahead of need, in
        seconds.
    :param is_over: Whether all control instances have denied tokens. Only those that
        answer fast are asked by waiting requests then.
    :param inquire_at: Time from which on the others are asked whether they have tokens
        again, in seconds.
    """

    rate_per_s: float = 0.0
    closed_until: float = float("-inf")
    retry_at: float = float("-inf")
    denied_until_by_control: dict[InstanceId, float] = field(default_factory=dict)
    prefetch_at: float = float("-inf")
    is_over: bool = False
    inquire_at: float = float("-inf")
    _used_at: float = float("-inf")
    _expiries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request toward the recent rate.

        :param now: The present time, in seconds.
        """
        if now - self._used_at > const.OVER_RETENTION_S:
            self.is_over = False
        decay = math.exp((self._used_at - now) / const.RATE_AVERAGE_S)
        self.rate_per_s = self.rate_per_s * decay + 1 / const.RATE_AVERAGE_S
        self._used_at = now

    def add(self, count: int, until: float) -> None:
        """Add tokens.

        :param count: Number of tokens.
        :param until: Time up to which they may be used, in seconds.
        """
        self._expiries.extend([until] * count)

    def take(self, now: float) -> float | None:
        """Take the token that ends next.

        :param now: The present time, in seconds.
        :return: Time up to which it may be used, in seconds; ``None`` without a token.
        """
        self.remove_expired(now)
        return self._expiries.popleft() if self._expiries else None

    def give_back(self, until: float) -> None:
        """Take back the token of a request that was not sent.

        :param until: Time up to which it may be used, in seconds.
        """
        self._expiries.appendleft(until)

    def remove_expired(self, now: float) -> int:
        """Remove the tokens that may be used no more; return how many there were.

        :param now: The present time, in seconds.
        """
        kept = deque(until for until in self._expiries if now < until)
        removed = len(self._expiries) - len(kept)
        self._expiries = kept
        return removed

    def extra(self, now: float) -> int:
        """Return the number of tokens to ask for ahead of need.

        :param now: The present time, in seconds.
        """
        if now < self.prefetch_at or self.rate_per_s < const.MIN_PREFETCH_PER_S:
            return 0
        self.remove_expired(now)
        expected = math.floor(self.rate_per_s * const.EXTRA_S)
        return max(0, min(expected, const.MAX_EXTRA_TOKENS) - len(self._expiries))

    def needs_prefetch(self, now: float) -> bool:
        """Whether to fetch tokens before a request needs one.

        :param now: The present time, in seconds.
        """
        if self.rate_per_s < const.MIN_PREFETCH_PER_S or self._expiries:
            return False
        return now >= max(self.closed_until, self.prefetch_at)


@dataclass(slots=True)
class QuotaHolder:
    """Tokens of all workspaces at one entry instance.

    :param sources: Control instances that may have tokens.
    :param reply_s_by_control: Time to the last answer of each control instance, in
        seconds.
    """

    sources: TokenSources[WorkspaceName] = field(default_factory=TokenSources)
    reply_s_by_control: dict[InstanceId, float] = field(default_factory=dict)
    _held_by_workspace: dict[WorkspaceName, HeldTokens] = field(default_factory=dict)

    def held(self, workspace: WorkspaceName) -> HeldTokens:
        """Return what is held for a workspace.

        :param workspace: Name of the workspace.
        """
        held = self._held_by_workspace.get(workspace)
        if held is None:
            held = self._held_by_workspace.setdefault(workspace, HeldTokens())
        return held

    def retain(self, workspaces: Collection[WorkspaceName]) -> None:
        """Forget all workspaces but those given.

        :param workspaces: Names of the workspaces that have a quota.
        """
        for name in self._held_by_workspace.keys() - set(workspaces):
            del self._held_by_workspace[name]
            self.sources.forget_denials(name)

    def forget_denials(self, workspace: WorkspaceName) -> None:
        """Ask all control instances again, as the quota has changed.

        :param workspace: Name of the workspace.
        """
        held = self._held_by_workspace.get(workspace)
        if held is not None:
            held.closed_until, held.is_over = float("-inf"), False
            held.denied_until_by_control.clear()
            self.sources.forget_denials(workspace)

    def admit(
        self, workspace: WorkspaceName, controls: Sequence[InstanceId], now: float
    ) -> QuotaDecision | None:
        """Decide on a request as far as that needs no control instance.

        :param workspace: Name of the workspace.
        :param controls: Connected control instances, nearest first.
        :param now: The present time, in seconds.
        :return: The decision; ``None`` if the request has to wait for a token.
        """
        held = self.held(workspace)
        held.record_request(now)
        until = held.take(now)
        if until is not None:
            return QuotaDecision(workspace=workspace, valid_until=until)
        if now < held.closed_until:
            return self.rejection(workspace, controls, now)
        return None

    def next_demand(
        self,
        workspace: WorkspaceName,
        controls: Sequence[InstanceId],
        asked: Collection[InstanceId],
        waiting: int,
        now: float,
    ) -> TokenDemand | None:
        """Return what to ask for next; ``None`` if no control instance is left.

        :param workspace: Name of the workspace.
        :param controls: Connected control instances, nearest first.
        :param asked: Control instances that have been asked for the same requests.
        :param waiting: Number of waiting requests.
        :param now: The present time, in seconds.
        """
        is_over = self.held(workspace).is_over
        left = (
            control
            for control in controls
            if control not in asked and (not is_over or self._is_fast(control))
        )
        control = self.sources.choose_control(workspace, left, now)
        if control is None:
            return None
        extra = self.held(workspace).extra(now)
        return TokenDemand(control=control, needed=waiting, extra=extra)

    def _is_fast(self, control: InstanceId) -> bool:
        return self.reply_s_by_control.get(control, 0.0) <= const.FAST_REPLY_S

    def inquiries(
        self, workspace: WorkspaceName, controls: Sequence[InstanceId], now: float
    ) -> tuple[InstanceId, ...]:
        """Return the control instances to ask whether they have tokens again.

        :param workspace: Name of a workspace that was over its quota.
        :param controls: Connected control instances.
        :param now: The present time, in seconds.
        """
        held = self.held(workspace)
        if not held.is_over or now < held.inquire_at:
            return ()
        held.inquire_at = now + const.INQUIRY_INTERVAL_S
        return tuple(control for control in controls if not self._is_fast(control))

    def record_inquiry(
        self,
        workspace: WorkspaceName,
        reply: IssueDecision,
        requested_at: float,
    ) -> None:
        """Record whether a control instance has tokens to spare again.

        :param workspace: Name of the workspace.
        :param reply: Its answer to a request for a token ahead of need.
        :param requested_at: Time at which it was asked, in seconds.
        """
        if reply.granted:
            held = self.held(workspace)
            held.add(reply.granted, requested_at + const.TOKEN_LIFETIME_S)
            self.forget_denials(workspace)

    def record_reply(
        self,
        workspace: WorkspaceName,
        demand: TokenDemand,
        reply: IssueDecision,
        requested_at: float,
        now: float,
    ) -> None:
        """Record the answer of a control instance.

        :param workspace: Name of the workspace.
        :param demand: What it was asked for.
        :param reply: Its answer.
        :param requested_at: Time at which it was asked, in seconds.
        :param now: The present time, in seconds.
        """
        held = self.held(workspace)
        self.reply_s_by_control[demand.control] = now - requested_at
        # The life of a token begins before the control instance issued it.
        held.add(reply.granted, requested_at + const.TOKEN_LIFETIME_S)
        if reply.granted < demand.needed + demand.extra:
            held.prefetch_at = now + const.PREFETCH_PAUSE_S
        if reply.granted >= demand.needed:
            # Denied tokens ahead of need are no reason not to ask for needed ones.
            held.denied_until_by_control.pop(demand.control, None)
            return
        retry_at = now + reply.next_token_s
        self.sources.record_denial(workspace, demand.control, retry_at)
        if reply.state is IssueState.ISSUING:
            held.denied_until_by_control[demand.control] = retry_at
            stated = now + reply.retry_after_s
            held.retry_at = (
                stated if held.retry_at < now else min(held.retry_at, stated)
            )

    def wait_s(self, workspace: WorkspaceName, now: float) -> float | None:
        """Return how long to wait for the next token instead of a rejection.

        :param workspace: Name of a workspace whose tokens all control instances have
            denied.
        :param now: The present time, in seconds.
        :return: The time, in seconds; ``None`` if it is too long.
        """
        held = self.held(workspace)
        wait_s = held.retry_at - now
        return (
            wait_s
            if not held.is_over and 0 < wait_s <= const.MAX_TOKEN_WAIT_S
            else None
        )

    def close(
        self, workspace: WorkspaceName, controls: Sequence[InstanceId], now: float
    ) -> None:
        """Record that no control instance is left to ask.

        :param workspace: Name of the workspace.
        :param controls: Connected control instances.
        :param now: The present time, in seconds.
        """
        held = self.held(workspace)
        next_at = self.sources.next_token_at(workspace, controls)
        earliest = now + const.MIN_CLOSED_S
        held.closed_until = max(earliest, next_at or earliest)
        # A shorter time is stated where tokens are short for a moment only.
        if not held.is_over and held.retry_at - now > const.MAX_TOKEN_WAIT_S:
            held.is_over, held.inquire_at = True, now + const.INQUIRY_INTERVAL_S

    def rejection(
        self, workspace: WorkspaceName, controls: Sequence[InstanceId], now: float
    ) -> QuotaDecision:
        """Return the rejection of a request that got no token.

        :param workspace: Name of the workspace.
        :param controls: Connected control instances.
        :param now: The present time, in seconds.
        """
        held = self.held(workspace)
        next_at = self.sources.next_token_at(workspace, controls)
        denied = [held.denied_until_by_control.get(control) for control in controls]
        if next_at is None:
            code, retry_at = codes.NO_CONTROL, now + const.UNAVAILABLE_RETRY_S
        elif any(until is not None for until in denied):
            code, retry_at = codes.OVER_QUOTA, max(next_at, held.retry_at)
        else:
            code, retry_at = self._unavailable(workspace), next_at
        retry_after_s = max(const.MIN_CLOSED_S, retry_at - now)
        return QuotaDecision(
            workspace=workspace,
            failure=Failure(code=code, detail=workspace, retry_after_s=retry_after_s),
        )

    def _unavailable(self, workspace: WorkspaceName) -> ResultCode:
        """Return the code for control instances that issue none or don't answer."""
        has_answers = self.sources.has_denials(workspace)
        return codes.NOT_ISSUED if has_answers else codes.NO_CONTROL

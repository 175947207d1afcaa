"""Decision whether an entry instance is isolated from all targets."""

from collections import defaultdict
from collections.abc import Hashable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from mothshunt.core.types import AvailabilityZoneId, ServiceName, TargetId
from mothshunt.isolation import const
from mothshunt.isolation.model import Evidence, Path, Phase, Surroundings


class AttemptPlace(NamedTuple):
    """Target of an attempt, with its service and availability zone."""

    target: TargetId
    service: ServiceName
    zone: AvailabilityZoneId


class _Pending(NamedTuple):
    place: AttemptPlace
    sent_at: float
    expected_s: float

    def nats(self, last_contact_at: float, now: float) -> float:
        """Return the evidence of the time since the last contact with a target."""
        until_then = _silence_nats(last_contact_at - self.sent_at, self.expected_s)
        return _silence_nats(now - self.sent_at, self.expected_s) - until_then


class _Failed(NamedTuple):
    place: AttemptPlace
    failed_at: float
    nats: float


@dataclass(slots=True)
class ContactTracker:
    """Attempts at targets since the last contact with any target.

    :param last_contact_at: Time at which a response of any target, or a part of one,
        was last received, in seconds.
    :param last_tick_at: Time of the last ``tick``, in seconds.
    """

    last_contact_at: float = 0.0
    last_tick_at: float = 0.0
    _pending_by_key: dict[Hashable, _Pending] = field(default_factory=dict)
    _failed: list[_Failed] = field(default_factory=list)
    _used_at_by_service: dict[ServiceName, float] = field(default_factory=dict)

    def tick(self, now: float) -> None:
        """Record that this process runs; to be called at short intervals.

        :param now: The present time, in seconds.
        """
        self._forget_after_suspension(now)
        self.last_tick_at = now
        oldest = now - const.EVIDENCE_LIFETIME_S
        if self._failed and self._failed[0].failed_at < oldest:
            self._failed = [f for f in self._failed if f.failed_at >= oldest]

    def _forget_after_suspension(self, now: float) -> None:
        """Drop what was pending across a suspension of this process."""
        if now - self.last_tick_at > const.MAX_TICK_GAP_S:
            self._pending_by_key.clear()
            self._failed.clear()
            self.last_tick_at = now

    def record_start(
        self, key: Hashable, place: AttemptPlace, expected_s: float, now: float
    ) -> None:
        """Record the start of an attempt.

        :param key: Identifies the attempt.
        :param place: Target of the attempt.
        :param expected_s: Expected time to the response, in seconds.
        :param now: The present time, in seconds.
        """
        expected_s = max(const.MIN_EXPECTED_S, expected_s)
        self._pending_by_key[key] = _Pending(place, now, expected_s)
        self._used_at_by_service[place.service] = now

    def record_response(self, key: Hashable, now: float) -> None:
        """Record that a target responded, whatever it responded.

        :param key: Identifies the attempt.
        :param now: The present time, in seconds.
        """
        self._pending_by_key.pop(key, None)
        self._failed.clear()
        self.last_contact_at = now

    def record_received(self, received_at: float) -> None:
        """Record that bytes of a target were received, such as a part of a response.

        Large responses take long on a busy link, and everything else waits behind them:
        responses are then late, and connections fail, although targets are reached.

        :param received_at: Time at which they were received, in seconds.
        """
        if received_at > self.last_contact_at:
            self.last_contact_at = received_at
            self._failed = [f for f in self._failed if f.failed_at > received_at]

    def record_failure(self, key: Hashable, now: float) -> None:
        """Record that a connection failed or broke, or that no response came in time.

        :param key: Identifies the attempt.
        :param now: The present time, in seconds.
        """
        self._forget_after_suspension(now)
        pending = self._pending_by_key.pop(key, None)
        if pending is not None:
            # What it waited before the last contact proves nothing.
            waited_s = now - pending.sent_at
            quiet_s = now - max(pending.sent_at, self.last_contact_at)
            share = quiet_s / waited_s if waited_s > 0 else 1.0
            nats = const.NATS_PER_FAILURE * share
            self._failed.append(_Failed(pending.place, now, nats))

    def record_cancelled(self, key: Hashable) -> None:
        """Record that an attempt ended here, which proves nothing.

        :param key: Identifies the attempt.
        """
        self._pending_by_key.pop(key, None)

    def evidence(self, now: float) -> Evidence:
        """Return what speaks for an isolation since the last contact.

        :param now: The present time, in seconds.
        """
        nats_by_place: dict[AttemptPlace, float] = defaultdict(float)
        oldest = now - const.EVIDENCE_LIFETIME_S
        for failed in self._failed:
            if failed.failed_at >= oldest:
                nats_by_place[failed.place] += failed.nats
        for pending in self._pending_by_key.values():
            nats_by_place[pending.place] += pending.nats(self.last_contact_at, now)
        nats_by_service: dict[ServiceName, float] = defaultdict(float)
        nats_by_zone: dict[AvailabilityZoneId, float] = defaultdict(float)
        for place, nats in nats_by_place.items():
            bounded = min(const.MAX_NATS_PER_TARGET, nats)
            nats_by_service[place.service] += bounded
            nats_by_zone[place.zone] += bounded
        total = sum(nats_by_zone.values())
        return Evidence(
            nats=total,
            nats_outside_service=total - max(nats_by_service.values(), default=0.0),
            nats_outside_zone=total - max(nats_by_zone.values(), default=0.0),
            targets=sum(nats > 0 for nats in nats_by_place.values()),
        )

    def is_out_of_contact(self, surroundings: Surroundings, now: float) -> bool:
        """Whether the attempts since the last contact tell of an isolation.

        :param surroundings: Targets of the region.
        :param now: The present time, in seconds.
        """
        if now - self.last_contact_at < const.MIN_QUIET_S:
            return False
        if surroundings.targets < const.MIN_KNOWN_TARGETS:
            return False
        evidence = self.evidence(now)
        needed = min(
            const.ISOLATED_NATS,
            const.ISOLATED_NATS_PER_KNOWN_TARGET * surroundings.targets,
        )
        diverse = const.DIVERSE_FRACTION * needed
        used_services = sum(
            now - used_at < const.SERVICE_USE_S
            for used_at in self._used_at_by_service.values()
        )
        return (
            evidence.nats >= needed
            and (used_services < 2 or evidence.nats_outside_service >= diverse)
            and (surroundings.zones < 2 or evidence.nats_outside_zone >= diverse)
        )


def _silence_nats(age_s: float, expected_s: float) -> float:
    """Return the evidence of an attempt without a response for some time."""
    late = age_s / expected_s - const.EARLY_FRACTION
    nats = max(0.0, late) * const.NATS_PER_EXPECTED_TIME
    return min(const.MAX_NATS_PER_SILENCE, nats)


@dataclass(slots=True)
class IsolationState:
    """Phase of an entry instance, and the path of each request that follows from it.

    :param tracker: Attempts at targets.
    :param phase: The phase.
    :param phase_since: Begin of the phase, in seconds.
    :param began_at: Begin of the last isolation, in seconds.
    :param next_trial_at: Time of the next trial, in seconds.
    """

    tracker: ContactTracker = field(default_factory=ContactTracker)
    phase: Phase = Phase.CONNECTED
    phase_since: float = 0.0
    began_at: float = 0.0
    next_trial_at: float = 0.0
    _connect_proof_s: float = const.CONNECT_PROOF_S
    _recovered_at: float = 0.0

    def update(self, surroundings: Surroundings, now: float) -> bool:
        """Compute the phase; return whether it has changed.

        :param surroundings: Targets of the region.
        :param now: The present time, in seconds.
        """
        phase = self.phase
        if self.phase is Phase.ISOLATED:
            if self.tracker.last_contact_at > self.phase_since:
                self._set_phase(Phase.RECOVERING, now)
        elif self.tracker.is_out_of_contact(surroundings, now):
            if phase is Phase.CONNECTED:
                self.began_at = now
            if self.tracker.last_contact_at > self._recovered_at:
                # The connection that ended the last isolation was no mistake.
                self._connect_proof_s = const.CONNECT_PROOF_S
            self._set_phase(Phase.ISOLATED, now)
        elif phase is Phase.RECOVERING and now - self.phase_since >= const.RECOVERY_S:
            self._set_phase(Phase.CONNECTED, now)
        return self.phase is not phase

    def _set_phase(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self.phase_since = now
        if phase is Phase.RECOVERING:
            self._recovered_at = now

    def record_open_connection(self, now: float) -> bool:
        """Record that a trial connection could be opened; return whether that counts.

        A connection proves less than a response, so it ends the isolation only if no
        trial request was answered for some time.

        :param now: The present time, in seconds.
        """
        if self.phase is not Phase.ISOLATED:
            return False
        if now - self.phase_since < self._connect_proof_s:
            return False
        longer_s = 2 * self._connect_proof_s
        self._connect_proof_s = min(const.MAX_CONNECT_PROOF_S, longer_s)
        self._set_phase(Phase.RECOVERING, now)
        return True

    def path(self, *, is_idempotent: bool, now: float, random: Random) -> Path:
        """Return the path of a request.

        :param is_idempotent: Whether it may run more than once.
        :param now: The present time, in seconds.
        :param random: Source of randomness.
        """
        if self.phase is Phase.CONNECTED:
            return Path.TARGET
        if self.phase is Phase.RECOVERING:
            part = (now - self.phase_since) / const.RECOVERY_S
            share = const.RECOVERY_FIRST_SHARE + part
            return Path.TARGET if random.random() < share else Path.RELAY
        if is_idempotent and now >= self.next_trial_at:
            self.plan_trial(now, random)
            return Path.TRIAL
        return Path.RELAY

    def plan_trial(self, now: float, random: Random) -> None:
        """Set the time of the next trial.

        :param now: The present time, in seconds.
        :param random: Source of randomness.
        """
        jitter = random.uniform(1 - const.TRIAL_JITTER, 1 + const.TRIAL_JITTER)
        self.next_trial_at = now + const.TRIAL_INTERVAL_S * jitter

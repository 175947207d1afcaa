"""Attempts at targets in simulated time, as the detection of an isolation sees them."""

import heapq
import itertools
import math
from random import Random

from mothshunt.core.types import AvailabilityZoneId, ServiceName, TargetId
from mothshunt.isolation import const
from mothshunt.isolation.model import Phase, Surroundings
from mothshunt.isolation.state import AttemptPlace, IsolationState

#: Requests a second and seconds of work of each service, for one entry instance, as
#: docs/SHARED_CAPACITY.md tells.
SERVICES_BY_LOAD = {
    "florists": {"checks": [(5.5, 0.4), (1.8, 0.52)], "runs": [(2.0, 1.0), (1.0, 1.6)]},
    "utilities": {
        "lectura": [(7.0, 1.1)],
        "cierre": [(3.3, 1.4)],
        "firmware": [(0.8, 0.88)],
        "acuse": [(0.9, 0.88)],
    },
    "5 requests a second": {"checks": [(3.5, 0.4)], "runs": [(1.5, 1.0)]},
}
ZONES = ("north-a", "north-b")
TARGETS_PER_SERVICE = 8
CONNECT_TIMEOUT_S = 0.4
DEADLINE_FACTOR = 6.0
#: Spread of response times: 1 in 8 takes over 1.5 times as long as expected.
SPREAD = 0.35
KNOWN_FRACTION = 0.3
RECONNECT_FRACTION = 0.5
SURROUNDINGS = Surroundings(targets=2 * TARGETS_PER_SERVICE, zones=len(ZONES))


def no_fault(place, random):
    return None


def hang(place, random):
    """Half of the attempts open a connection; the others get no response."""
    is_new = random.random() < RECONNECT_FRACTION
    return ("failed", CONNECT_TIMEOUT_S) if is_new else ("silent", math.inf)


def silent(place, random):
    return ("silent", math.inf)


def reset(place, random):
    return ("failed", 0.001)


def shed(place, random):
    return ("answered", 0.002) if random.random() < 0.9 else None


def lossy(place, random):
    return hang(place, random) if random.random() < 0.5 else None


def slightly_lossy(place, random):
    return hang(place, random) if random.random() < 0.1 else None


def bad_service(place, random):
    return hang(place, random) if place.service == "runs" else None


def bad_zone(place, random):
    return hang(place, random) if place.zone == ZONES[0] else None


FAULTS = {
    "hang": hang,
    "stay silent": silent,
    "reset": reset,
    "are shed": shed,
    "get lost half of the time": lossy,
    "get lost 1 in 10 times": slightly_lossy,
    "fail for one service": bad_service,
    "fail for one zone": bad_zone,
}


class IsolationWorld:
    """Runs attempts of one entry instance.

    :param load: Which load.
    :param seed: Seed of all randomness.
    """

    def __init__(self, load, seed):
        self.random = Random(seed)
        self.state = IsolationState()
        self.now = 0.0
        self.fault = no_fault
        self.busy_until = 0.0
        self.attempts = 0
        self.isolated_at = []
        self.peak_nats = []
        self._peak = 0.0
        self._numbers = itertools.count()
        kinds = [
            (per_s, service, work_s)
            for service, rows in SERVICES_BY_LOAD[load].items()
            for per_s, work_s in rows
        ]
        self._rates = [per_s for per_s, _, _ in kinds]
        self._kinds = kinds
        # Time, order, what happens, key, silence after which an attempt is forgotten.
        self._events = []
        self._at(0.0, "arrival")
        self._at(0.0, "tick")

    def _at(self, after_s, what, key=None):
        event = (self.now + after_s, next(self._numbers), what, key)
        heapq.heappush(self._events, event)

    def run(self, span_s):
        end = self.now + span_s
        while self._events[0][0] < end:
            self.now, _, what, key = heapq.heappop(self._events)
            self._process(what, key)
        self.now = end

    def suspend(self, span_s):
        """Let time pass in which nothing is processed; all timers fire late."""
        self.now += span_s
        late = sorted(e for e in self._events if e[0] <= self.now)
        self._events = [e for e in self._events if e[0] > self.now]
        # Timers, such as those for connections, fire before sockets are read.
        late.sort(key=lambda event: event[2] == "answered")
        for number, event in enumerate(late):
            self._events.append((self.now, number - len(late), *event[2:]))
        heapq.heapify(self._events)

    def _process(self, what, key):
        tracker = self.state.tracker
        if what == "arrival":
            self._at(self.random.expovariate(sum(self._rates)), "arrival")
            self._attempt()
        elif what == "tick":
            self._at(const.TICK_INTERVAL_S, "tick")
            tracker.tick(self.now)
            if self.now < self.busy_until:
                tracker.record_received(self.now)
            self._update()
        elif what == "answered":
            tracker.record_response(key, self.now)
            if self._peak:
                self.peak_nats.append(self._peak)
            self._peak = 0.0
        elif what == "failed":
            tracker.record_failure(key, self.now)
            self._update()

    def _attempt(self):
        self.attempts += 1
        _, service, work_s = self.random.choices(self._kinds, self._rates)[0]
        number = self.random.randrange(TARGETS_PER_SERVICE)
        place = AttemptPlace(
            TargetId(f"{service}-{number}"),
            ServiceName(service),
            AvailabilityZoneId(ZONES[number % len(ZONES)]),
        )
        key = self.attempts
        self.state.tracker.record_start(key, place, work_s, self.now)
        took_s = work_s * self.random.lognormvariate(0.0, SPREAD)
        if self.random.random() < KNOWN_FRACTION:
            took_s /= 3
        what, took_s = self.fault(place, self.random) or ("answered", took_s)
        if what == "answered" and self.now < self.busy_until:
            if self.random.random() < RECONNECT_FRACTION:
                what, took_s = "failed", CONNECT_TIMEOUT_S
            else:
                took_s += self.busy_until - self.now
        if what == "silent":
            what, took_s = "failed", DEADLINE_FACTOR * work_s
        self._at(took_s, what, key)

    def keep_link_busy(self, span_s):
        """Let all responses wait behind the bytes of a large one.

        Connections that are opened meanwhile fail.
        """
        self.busy_until = self.now + span_s
        self._events = [
            (max(at, self.busy_until) if what == "answered" else at, *order, what, key)
            for at, *order, what, key in self._events
        ]
        heapq.heapify(self._events)

    def drop_responses(self):
        """Let no response come to what is in flight."""
        self._events = [e for e in self._events if e[2] != "answered"]
        heapq.heapify(self._events)

    def _update(self):
        if self.now - self.state.tracker.last_contact_at >= const.MIN_QUIET_S:
            self._peak = max(self._peak, self.state.tracker.evidence(self.now).nats)
        is_changed = self.state.update(SURROUNDINGS, self.now)
        if is_changed and self.state.phase is Phase.ISOLATED:
            self.isolated_at.append(self.now)

    def peaks_from(self, nats):
        """Return how many gaps between responses gave as much evidence."""
        return sum(peak >= nats for peak in self.peak_nats)

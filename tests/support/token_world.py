"""Simulated entry and control instances that share the rate limit of one target."""

from dataclasses import dataclass, field
from random import Random

from hypothesis import strategies as st

from mothshunt.rate_limit import const
from mothshunt.rate_limit.model import RateLimit
from mothshunt.rate_limit.state import RateLimits, TokenIssuer
from mothshunt.util.tokens import TokenSources

TARGET = "t"
CONTROL = 5
ENTRIES = 8
#: Time between two steps, in seconds.
STEP_S = 0.05
#: Longest time of a message on its way, in steps.
MAX_DELAY_STEPS = 3
#: Share of the messages that are lost.
LOST_SHARE = 0.05
#: Requests that each entry instance wants to send in each step.
DEMAND = 2
WINDOW_S = 4.0
#: Requests a second that the target gets tokens for even under a lower limit.
MIN_PER_S = 0.25

#: What may happen: faults and their ends, another limit, entry instances that keep
#: their tokens to the last moment or use them at once, and that want none or many.
VERBS = (
    *("restart", "cut", "cut", "join", "freeze", "thaw", "limit"),
    *("hold", "release", "idle", "busy"),
)
DISTURBANCES = st.lists(
    st.tuples(
        st.sampled_from(list(VERBS)),
        st.integers(0, ENTRIES - 1),
        st.integers(0, CONTROL - 1),
        st.integers(1, 80),
    ),
    min_size=1,
    max_size=12,
)
LIMITS = (0.0, 0.4, 1.0, 3.0, 5.7, 20.0, 100.0)


@dataclass
class SimulatedEntry:
    """Entry instance that sends whatever it gets tokens for.

    :param number: Number that its order of control instances depends on.
    """

    number: int
    limits: RateLimits = field(default_factory=RateLimits)
    sources: TokenSources = field(default_factory=TokenSources)
    tokens_until: list[float] = field(default_factory=list)

    def controls(self):
        return [f"c{(self.number + n) % CONTROL}" for n in range(CONTROL)]


class TokenWorld:
    """Entry and control instances with lost, late and reordered messages.

    :param seed: Seed of delays, losses and times of use.
    :param per_s: Limit that the target names, in requests a second.
    """

    def __init__(self, seed, per_s):
        self.now = 0.0
        self.random = Random(seed)
        self.limit_changes = [(0.0, per_s)]
        self.entries = [SimulatedEntry(n) for n in range(ENTRIES)]
        self.issuer_by_control = {
            f"c{n}": TokenIssuer(MIN_PER_S) for n in range(CONTROL)
        }
        self.cut, self.frozen = set(), set()
        self.holds_tokens, self.is_idle = False, False
        self.in_transit = []
        self.sent_at = []
        for entry in self.entries:
            self.observe(entry)

    def observe(self, entry):
        """Let an entry instance receive a response with the present limit."""
        per_s = self.limit_changes[-1][1]
        limit = RateLimit(incarnation=1, per_s=per_s, observed_at=self.now)
        entry.limits.record(TARGET, limit)

    def disturb(self, verb, entry, control):
        if verb == "restart":
            self.issuer_by_control[f"c{control}"] = TokenIssuer(MIN_PER_S)
        elif verb == "cut":
            self.cut.add((entry, f"c{control}"))
        elif verb == "freeze":
            self.frozen.add(entry)
        elif verb == "thaw":
            self.frozen.clear()
        elif verb == "limit":
            self.limit_changes.append((self.now, LIMITS[entry % len(LIMITS)]))
        elif verb in ("hold", "release"):
            self.holds_tokens = verb == "hold"
        elif verb in ("idle", "busy"):
            self.is_idle = verb == "idle"
        else:
            self.cut.clear()

    def step(self):
        self.now = round(self.now + STEP_S, 3)
        arriving = [m for m in self.in_transit if m[0] <= self.now]
        self.in_transit = [m for m in self.in_transit if m[0] > self.now]
        for _, deliver in arriving:
            deliver()
        for entry in self.entries:
            if entry.number not in self.frozen:
                self.use_tokens(entry)
                for _ in range(0 if self.is_idle else DEMAND):
                    self.request_token(entry)

    def post(self, entry, control, deliver):
        is_lost = self.random.random() < LOST_SHARE
        if not is_lost and (entry.number, control) not in self.cut:
            delay_s = self.random.randint(1, MAX_DELAY_STEPS) * STEP_S
            self.in_transit.append((self.now + delay_s, deliver))

    def request_token(self, entry):
        control = entry.sources.choose_control(TARGET, entry.controls(), self.now)
        if control is None:
            return
        # The entry instance waits for the answer before it asks again.
        entry.sources.record_denial(TARGET, control, self.now + const.TOKEN_TIMEOUT_S)
        requested_at, limit = self.now, entry.limits.newest(TARGET)

        def on_request():
            issuer = self.issuer_by_control[control]
            issuer.record(TARGET, limit, 1 / CONTROL, self.now)
            decision = issuer.take_token(TARGET, 1 / CONTROL, self.now)
            self.post(entry, control, lambda: on_reply(decision))

        def on_reply(decision):
            if decision.is_granted:
                until = requested_at + const.TOKEN_LIFETIME_S
                entry.tokens_until.append(until)
            else:
                retry_at = self.now + decision.retry_after_s
                entry.sources.record_denial(TARGET, control, retry_at)

        self.post(entry, control, on_request)

    def use_tokens(self, entry):
        held, entry.tokens_until = entry.tokens_until, []
        for until in held:
            if self.now >= until:
                continue
            if self.holds_tokens and self.now + STEP_S < until:
                entry.tokens_until.append(until)
                continue
            self.sent_at.append(self.now)
            self.observe(entry)

    def allowed(self, at):
        """Return how many requests may come in the window up to a time.

        While a change is younger than the longest way of its news, and as long as the
        window reaches back before it, the higher limit counts.
        """
        begin = at - WINDOW_S - 2.0
        limits = [
            per_s
            for (_, per_s), (ended_at, _) in zip(
                self.limit_changes, self.limit_changes[1:], strict=False
            )
            if ended_at > begin
        ]
        return 1.5 * max([*limits, self.limit_changes[-1][1]]) * WINDOW_S + 5

    def count(self, since, until):
        return sum(since < at <= until for at in self.sent_at)

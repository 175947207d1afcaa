"""Steps for the state of the ledger and its coordinator."""

import asyncio
import random
from dataclasses import replace

import msgpack
from behave import given, then, when
from expression import Error, Ok

from mothshunt.core.codes import Failure, MothshuntError
from mothshunt.core.types import Ran
from mothshunt.ledger.applier import LedgerApplier
from mothshunt.ledger.codes import LEDGER_UNAVAILABLE
from mothshunt.ledger.coordinator import LedgerCoordinator
from mothshunt.ledger.messages import (
    Claim,
    ClaimRef,
    ClaimStatus,
    Expire,
    Lapse,
    Record,
    Release,
    Undecided,
)
from mothshunt.ledger.model import LedgerKey, StoredResponse
from mothshunt.metrics.registry import Metrics
from mothshunt.util import wire

MINUTE_S = 60.0
SEED = 20261203


def ledger_key(name: str) -> LedgerKey:
    return LedgerKey(customer="sleman", service="deposit-payment", key=name)


def claim(attempt: str, key: str, request: str, runs_ms: int = 1000) -> Claim:
    return Claim(
        key=ledger_key(key),
        fingerprint=request.encode(),
        attempt=attempt.encode(),
        runs_ms=runs_ms,
    )


def record(attempt: str, key: str, size: int) -> Record:
    response = StoredResponse(status=201, headers=(("ETag", "x"),), body=b"b" * size)
    return Record(key=ledger_key(key), attempt=attempt.encode(), answer=response)


def release(attempt: str, key: str, request: str) -> Release:
    return Release(
        key=ledger_key(key), fingerprint=request.encode(), attempt=attempt.encode()
    )


def lapse(attempt: str, key: str) -> Lapse:
    return Lapse(claims=(ClaimRef(key=ledger_key(key), attempt=attempt.encode()),))


def apply(context, command):
    context.index += 1
    return context.applier.apply(context.index, command)


@given("an empty ledger")
def empty_ledger(context):
    context.applier = LedgerApplier()
    context.index = 0


@when('attempt "{attempt}" claims key "{key}" for request "{request}"')
def claims(context, attempt, key, request):
    context.outcome = apply(context, claim(attempt, key, request))


@when('attempt "{attempt}" records a response of {size:d} bytes for key "{key}"')
def records(context, attempt, size, key):
    apply(context, record(attempt, key, size))


@when('attempt "{attempt}" releases key "{key}" for request "{request}"')
def releases(context, attempt, key, request):
    apply(context, release(attempt, key, request))


@when('the claim of attempt "{attempt}" on key "{key}" lapses')
def lapses(context, attempt, key):
    apply(context, lapse(attempt, key))


@when("{count:d} keys are claimed")
def many_claims(context, count):
    for number in range(count):
        apply(context, claim(f"a{number}", f"k{number}", "r"))


@when("{count:d} responses of {size:d} bytes are recorded")
def many_responses(context, count, size):
    for number in range(count):
        apply(context, claim(f"a{number}", f"k{number}", "r"))
        apply(context, record(f"a{number}", f"k{number}", size))


@when("the keys up to index {index:d} expire")
def expires(context, index):
    apply(context, Expire(up_to=index))


@when("the ledger is restored from its snapshot, encoded with msgpack")
def restored(context):
    context.original = dict(context.applier.state.info_by_key)
    plain = wire.pack_plain(context.applier.snapshot())
    context.applier = LedgerApplier()
    context.applier.restore(context.index, msgpack.unpackb(plain, raw=False))


@then('the status of the claim is "{status}"')
def has_status(context, status):
    assert context.outcome.status is ClaimStatus(status), context.outcome


@then("the claim returns a response without a body")
def has_no_body(context):
    assert context.outcome.status is ClaimStatus.ANSWERED
    assert context.outcome.answer.body is None


@then("the ledger holds {count:d} key")
def holds_keys(context, count):
    assert len(context.applier.state.info_by_key) == count


@then("the ledger holds at most {limit:d} bytes of responses")
def holds_bytes(context, limit):
    state = context.applier.state
    stored = sum(
        len(info.response.body or b"")
        for info in state.info_by_key.values()
        if info.response
    )
    assert 0 < stored <= limit, stored
    assert stored <= state.usage_by_customer["sleman"].response_bytes <= limit


@then("the restored ledger equals the original")
def equals_original(context):
    assert context.applier.state.info_by_key == context.original
    assert list(context.applier.state.info_by_key) == list(context.original)


@then("the ledger has {count:d} open claim")
def has_open_claims(context, count):
    assert len(context.applier.state.open_claim_by_key) == count


@then(
    "in {runs:d} random runs of {length:d} commands "
    "no two attempts own the key at the same time"
)
def at_most_one_owner(context, runs, length):
    print(f"seed {SEED}")
    rng = random.Random(SEED)
    for _ in range(runs):
        run_randomly(rng, length)


def run_randomly(rng: random.Random, length: int) -> None:
    """Check that an attempt owns a key only after all earlier owners released it."""
    applier = LedgerApplier()
    may_run: set[str] = set()
    for index in range(1, length + 1):
        attempt = rng.choice("abcd")
        kind = rng.choice(("claim", "claim", "record", "release", "lapse", "snapshot"))
        if kind == "claim":
            outcome = applier.apply(index, claim(attempt, "k", "r"))
            if outcome.status is ClaimStatus.OWNED:
                may_run.add(attempt)
                assert may_run == {attempt}, (may_run, attempt)
        elif kind == "release":
            # An attempt releases its claim only if its request was not run.
            applier.apply(index, release(attempt, "k", "r"))
            may_run.discard(attempt)
        elif kind == "record":
            applier.apply(index, record(attempt, "k", 5))
        elif kind == "lapse":
            applier.apply(index, lapse(attempt, "k"))
        else:
            plain = msgpack.unpackb(wire.pack_plain(applier.snapshot()), raw=False)
            applier.restore(index, plain)


class FakeLog:
    """Replicated log that records proposals and applies them at once."""

    def __init__(self, applier: LedgerApplier) -> None:
        self.applier = applier
        self.index = 0
        self.is_leader = False
        self.is_available = True
        self.proposed = []

    @property
    def state(self) -> str:
        return "leader" if self.is_leader else "follower"

    @property
    def applied_index(self) -> int:
        return self.index

    def status(self):
        return self

    async def async_propose(self, data, timeout_s):
        if not self.is_available:
            return Error(Failure(code=LEDGER_UNAVAILABLE, ran=Ran.UNKNOWN))
        command = wire.unpack(data).ok
        self.proposed.append(command)
        return Ok(wire.pack(self.apply(command)))

    def apply(self, command):
        self.index += 1
        return self.applier.apply(self.index, command)


class FakeNetwork:
    """Peer network that stores the handlers of requests."""

    def __init__(self) -> None:
        self.handler_by_class = {}

    def on_request(self, cls, handler) -> None:
        self.handler_by_class[cls] = handler


class ManualClock:
    """Clock that shows the time set by a test."""

    now = 0.0

    def monotonic(self) -> float:
        return self.now


@given("a ledger coordinator on {role}")
def coordinator(context, role):
    context.runner = context.stack.enter_context(asyncio.Runner())
    applier = LedgerApplier()
    context.log = FakeLog(applier)
    context.log.is_leader = role == "the leader"
    context.network = FakeNetwork()
    context.clock = ManualClock()
    context.coordinator = LedgerCoordinator(
        network=context.network,
        log=context.log,
        applier=applier,
        metrics=Metrics(),
        clock=context.clock,
    )
    context.runner.run(context.coordinator.async_start())
    context.stack.callback(lambda: context.runner.run(context.coordinator.async_stop()))


@when("the instance of the ledger coordinator becomes leader")
def become_leader(context):
    context.log.is_leader = True


@when("a claim that runs {runs_ms:d} ms is applied")
def claim_applied(context, runs_ms):
    context.log.apply(claim("a", "k", "r", runs_ms))


@when("the ledger coordinator sweeps at time 0, 3 and 7")
def sweep_thrice(context):
    for now in (0.0, 3.0, 7.0):
        sweep(context, now)


@when("the ledger coordinator sweeps at time {now:g}")
def sweep(context, now):
    context.clock.now = now
    context.runner.run(context.coordinator.async_sweep())


@when("the ledger coordinator sweeps every minute for {count:d} minutes")
def sweep_each_minute(context, count):
    for minute in range(count + 1):
        sweep(context, minute * MINUTE_S)


@when("the replicated log does not answer")
def no_answer(context):
    context.log.is_available = False


@when("an entry sends a claim to the ledger coordinator")
def entry_claims(context):
    handler = context.network.handler_by_class[Claim]
    context.answer = context.runner.run(handler("e1", claim("a", "k", "r")))


@then("the entry gets the response Undecided with ran {ran}")
def got_undecided(context, ran):
    assert isinstance(context.answer, Undecided)
    assert context.answer.ran.value == ran


@then("the ledger coordinator has proposed nothing")
def proposed_nothing(context):
    assert context.log.proposed == []


@then("the ledger coordinator has proposed {count:d} lapse")
def proposed_lapse(context, count):
    assert [type(c) for c in context.log.proposed] == [Lapse] * count


@then("the ledger coordinator has proposed to remove the keys up to index {index:d}")
def proposed_expire(context, index):
    assert Expire(up_to=index) in context.log.proposed, context.log.proposed
    assert not context.log.applier.state.info_by_key


@when("{count:d} keys of sleman and 1 of rackhaven are applied")
def many_keys_of_one_customer(context, count):
    other = LedgerKey(customer="rackhaven", service="site-access", key="k")
    context.log.apply(replace(claim("b", "k", "r"), key=other))
    context.log.apply(Release(key=other, fingerprint=b"r", attempt=b"b"))
    for number in range(count):
        context.log.apply(claim(f"a{number}", f"k{number}", "r"))
        context.log.apply(record(f"a{number}", f"k{number}", 1))


@then("only the key of rackhaven is left at the ledger coordinator")
def only_rackhaven(context):
    keys = context.log.applier.state.info_by_key
    assert [key.customer for key in keys] == ["rackhaven"], len(keys)


@then("restoring a ledger snapshot with a row of two columns fails as malformed")
def malformed_snapshot(context):
    code = None
    try:
        context.applier.restore(1, [["a", "b"]])
    except MothshuntError as error:
        code = error.failure.code.number
    assert code == 1104, code

"""Steps for leased shares."""

import dataclasses
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from behave.api.async_step import async_run_until_complete
from expression import Error, Ok

from mothshunt.contract.model import ShiftLimit
from mothshunt.core.codes import Failure
from mothshunt.limits.allocation import HashRounding, ShiftRamp, allocate
from mothshunt.limits.codes import NOT_LEADER
from mothshunt.limits.const import CANCELLATION_TIME_S
from mothshunt.limits.coordinator import LeaseGrantorCoordinator
from mothshunt.limits.grantor import LeaseGrantor
from mothshunt.limits.holder import LeaseHolder
from mothshunt.limits.messages import Grant, Holding, Renewal, RenewalRefused
from mothshunt.limits.shares import (
    limit_by_key,
    region_key,
    static_reserve,
    static_share,
)
from mothshunt.limits.tally import LimitTotals
from mothshunt.metrics.registry import Metrics
from tests.support.limits_world import configuration, entry_record

KEY = region_key("sleman", "north")


def _configure(context, holder):
    record = context.configuration.instance_by_id[holder.instance]
    limits = limit_by_key(context.configuration)
    holder.configure(
        context.configuration.revision,
        {key: static_share(key, limit, record) for key, limit in limits.items()},
    )


def _holder(context, name, incarnation=1):
    holder = LeaseHolder(name, incarnation, "north", context.now - CANCELLATION_TIME_S)
    _configure(context, holder)
    return holder


def _start(context, name, count, holder=None):
    holder = holder or context.holder_by_name[name]
    permits = context.permits_by_name.setdefault(name, [])
    limit_set = holder.limit_set((KEY,))
    for _ in range(count - holder.in_use(KEY)):
        if holder.check_capacity(limit_set, idempotent=False, now=context.now) is None:
            permits.append(holder.acquire(limit_set, context.now))


def _renew(context, name):
    holder = context.holder_by_name[name]
    result = context.grantor.grant(holder.prepare_renewal(context.now), context.now)
    holder.accept(result.ok, context.now)


def _startable(context, name):
    """Return how many requests may start: start them all, then end them."""
    holder = context.holder_by_name[name]
    limit_set = holder.limit_set((KEY,))
    started = []
    while holder.check_capacity(limit_set, idempotent=False, now=context.now) is None:
        started.append(holder.acquire(limit_set, context.now))
    for permit in started:
        holder.release(permit, context.now)
    return len(started)


def _in_use(context, name):
    return context.holder_by_name[name].in_use(KEY)


@given('holders "{one}" and "{two}" under a region capacity of {limit:d}')
def holders(context, one, two, limit):
    context.now = 1000.0
    context.records = [entry_record(one, "north", 0), entry_record(two, "north", 1)]
    context.configuration = configuration(limit, 2.0, context.records)
    context.grantor = LeaseGrantor(1, context.now)
    context.grantor.configure(context.configuration)
    context.holder_by_name = {name: _holder(context, name) for name in (one, two)}
    context.permits_by_name = {}
    for name in (one, two):
        _renew(context, name)


@when('"{name}" renews until {count:d} of its requests are in flight')
def renews_until_in_flight(context, name, count):
    for _ in range(10):
        _start(context, name, count)
        context.now += 0.1
        _renew(context, name)
    _start(context, name, count)
    assert _in_use(context, name) == count, _in_use(context, name)


@when('"{name}" has a permit whose request is not sent yet')
def has_permit(context, name):
    context.permit = context.permits_by_name[name][-1]
    holder = context.holder_by_name[name]
    assert holder.may_dispatch(context.permit, context.now)


@when("{seconds:d} seconds pass for the holders")
def pass_seconds(context, seconds):
    context.now += seconds


@when('the answer to a renewal of "{name}" takes {seconds:d} seconds')
def late_answer(context, name, seconds):
    holder = context.holder_by_name[name]
    result = context.grantor.grant(holder.prepare_renewal(context.now), context.now)
    context.now += seconds
    holder.accept(result.ok, context.now)


@then('"{name}" may start more requests')
def may_start_some(context, name):
    assert _startable(context, name) > 0


@then('"{name}" may start {count:d} more requests')
def may_start(context, name, count):
    assert _startable(context, name) == count, _startable(context, name)


@then('"{name}" may not send the request of that permit')
def may_not_send(context, name):
    assert not context.holder_by_name[name].may_dispatch(context.permit, context.now)


@then('"{name}" may send the request of that permit')
def may_send(context, name):
    assert context.holder_by_name[name].may_dispatch(context.permit, context.now)


@when('"{name}" renews')
def renews(context, name):
    _renew(context, name)


@when('"{name}" tries to run {count:d} requests and renews')
def tries_to_run(context, name, count):
    for _ in range(3):
        _start(context, name, count)
        context.now += 0.1
        _renew(context, name)
    _start(context, name, count)


@when('"{name}" ends all its requests')
def ends_all(context, name):
    holder = context.holder_by_name[name]
    for permit in context.permits_by_name.pop(name):
        holder.release(permit, context.now)


@when(
    "both renew each second for {seconds:d} seconds "
    'while "{name}" tries to run {count:d} requests'
)
def both_renew(context, seconds, name, count):
    for _ in range(seconds):
        context.now += 1.0
        for holder in context.holder_by_name:
            _renew(context, holder)
        tries_to_run(context, name, count)


@then('"{name}" has at least {count:d} requests in flight')
def at_least(context, name, count):
    assert _in_use(context, name) >= count, _in_use(context, name)


@then('"{name}" has at most {count:d} requests in flight')
def at_most(context, name, count):
    assert _in_use(context, name) <= count, _in_use(context, name)


@when("the region capacity is lowered to {limit:d}")
def lowered(context, limit):
    context.configuration = configuration(limit, 2.0, context.records, revision=2)
    context.grantor.configure(context.configuration)
    for holder in context.holder_by_name.values():
        _configure(context, holder)


@then("both together have at most {limit:d} requests in flight")
def both_together(context, limit):
    used = [_in_use(context, name) for name in context.holder_by_name]
    assert sum(used) <= limit, used


@when("a new leader is elected")
def new_leader(context):
    context.grantor = LeaseGrantor(2, context.now)
    context.grantor.configure(context.configuration)


@then('"{name}" still has a share of at least {count:d}')
def keeps(context, name, count):
    capacity = context.holder_by_name[name].capacity(KEY, context.now)
    assert capacity >= count, capacity


@when('"{name}" is replaced by a new process while the old one keeps running')
def replaced(context, name):
    context.predecessor = context.holder_by_name[name]
    context.permits_by_name.pop(name)
    context.holder_by_name[name] = _holder(context, name, incarnation=2)


@when('the new "{name}" tries to run {count:d} requests and renews')
def new_tries_to_run(context, name, count):
    tries_to_run(context, name, count)


@then(
    'the new "{one}", the old one and "{two}" together use at most {limit:d}, '
    "static shares counted once"
)
def use_of_three(context, one, two, limit):
    # Both processes have the static share of their name; it is reserved only once.
    record = context.configuration.instance_by_id[one]
    static = static_share(KEY, limit, record)
    used = [_in_use(context, one), _in_use(context, two)]
    used.append(context.predecessor.capacity(KEY, context.now))
    assert used[0] > 0, "the new process has no request in flight"
    assert sum(used) <= limit + static, used


@then("the static shares of 4 seats of a limit from 0 to 200 add up to a quarter of it")
def static_shares(context):
    for limit in range(201):
        shares = [
            static_share(KEY, limit, entry_record(f"n{seat}", "north", seat))
            for seat in range(4)
        ]
        assert sum(shares) == static_reserve(KEY, limit) == limit // 4, shares
        assert max(shares) - min(shares) <= 1, shares


@then("an entry instance of another region or with a fifth seat has none")
def no_static(context):
    assert static_share(KEY, 100, entry_record("c0", "centre", 0)) == 0
    assert static_share(KEY, 100, entry_record("n4", "north", 4)) == 0


@then(
    "{total:d} requests divided between a local need of {need:d} and "
    "a remote demand of {want:d} give {own:d} and {other:d}"
)
def divided(context, total, need, want, own, other):
    home = Holding(key=KEY, held=0, static=0, in_use=0, needed=need, wanted=need + 5)
    remote = Holding(key=KEY, held=0, static=0, in_use=0, needed=want, wanted=want)
    totals = LimitTotals()
    totals.add_demand(home, True, 1)
    totals.add_demand(remote, False, 1)
    parts = [
        allocate(total, totals, home, True, HashRounding("n0", 0)),
        allocate(total, totals, remote, False, HashRounding("c0", 0)),
    ]
    assert parts == [own, other], parts


@then(
    "{total:d} requests divided among {count:d} holders "
    "reach each holder about equally over 500 lease periods"
)
def in_turn(context, total, count):
    holding = Holding(key=KEY, held=0, static=0, in_use=0, needed=3, wanted=3)
    totals = LimitTotals()
    names = [f"n{number}" for number in range(count)]
    for _ in names:
        totals.add_demand(holding, True, 1)
    granted = Counter()
    for period in range(500):
        for name in names:
            granted[name] += allocate(
                total, totals, holding, True, HashRounding(name, period)
            )
    fair = 500 * total / count
    assert all(0.6 * fair < part < 1.4 * fair for part in granted.values()), granted


@then("a shift cap of 30 in steps of 10 allows 10, 20, 30 and 30 while fully used")
def shift_up(context):
    context.shift = ShiftLimit(cap=30, step=10, step_interval_s=1.0)
    context.ramp = ShiftRamp(level=10, changed_at=0.0)
    allowed = [context.ramp.update(context.shift, 0, 0.5)]
    for now in (1.0, 2.0, 3.0):
        allowed.append(context.ramp.update(context.shift, allowed[-1], now))
        again = context.ramp.update(context.shift, allowed[-1], now + 0.5)
        assert again == allowed[-1], "more than one step in an interval"
    assert allowed == [10, 20, 30, 30], allowed


@then("it allows 20 and 10 once no request is shifted")
def shift_down(context):
    allowed = [context.ramp.update(context.shift, 0, now) for now in (4.0, 5.0)]
    assert allowed == [20, 10], allowed


class _Log:
    """Replicated log that reaches no majority."""

    def __init__(self, leader):
        self.leader = leader

    def status(self):
        return SimpleNamespace(leader=self.leader, term=1)

    async def async_confirm_leadership(self, timeout_s):
        return Error(Failure(code=NOT_LEADER))


class _Network:
    """Network that records the messages sent."""

    def __init__(self):
        self.sent = []

    def on_request(self, cls, handler):
        pass

    async def async_request(self, peer, message, timeout_s):
        self.sent.append((peer, message))
        return Ok(Grant(sequence=message.sequence, term=1, lease_s=5.0, shares=()))


def _control(context, leader):
    context.network = _Network()
    context.now = 1000.0
    records = [entry_record("n0", "north", 0)]
    source = SimpleNamespace(current=lambda: configuration(40, 2.0, records))
    context.control = LeaseGrantorCoordinator(
        instance="k0",
        network=context.network,
        log=_Log(leader),
        configuration=source,
        clock=SimpleNamespace(monotonic=lambda: context.now),
        metrics=Metrics(),
    )


def _renewal():
    return Renewal(holder="n0", incarnation=1, sequence=1, revision=1, holdings=())


@given("a control instance that takes itself for the leader but reaches no majority")
def false_leader(context):
    _control(context, "k0")


@given("a control instance that follows another leader")
def follower(context):
    _control(context, "k1")


@then("a renewal sent to it is refused")
@async_run_until_complete
async def refused(context):
    answer = await context.control.async_handle("n0", _renewal())
    assert isinstance(answer, RenewalRefused), answer


@then("a renewal sent to it is forwarded, and a forwarded one is refused")
@async_run_until_complete
async def forwarded(context):
    answer = await context.control.async_handle("n0", _renewal())
    assert isinstance(answer, Grant), answer
    assert [peer for peer, _ in context.network.sent] == ["k1"]
    forwarded_renewal = dataclasses.replace(_renewal(), forwarded=True)
    answer = await context.control.async_handle("k2", forwarded_renewal)
    assert isinstance(answer, RenewalRefused), answer
    assert len(context.network.sent) == 1

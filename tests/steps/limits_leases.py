"""Steps for leased shares."""

import dataclasses
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from behave.api.async_step import async_run_until_complete
from expression import Error, Ok

from mothshunt.contract.model import ShiftLimit
from mothshunt.core.codes import Failure
from mothshunt.limits.allocation import Draw, ShiftLevel, divide
from mothshunt.limits.codes import NOT_LEADER
from mothshunt.limits.const import CANCELLED_WITHIN_S
from mothshunt.limits.coordinator import LimitsGrantorCoordinator
from mothshunt.limits.grantor import Grantor
from mothshunt.limits.holder import Holder
from mothshunt.limits.messages import Grant, Holding, Renewal, RenewalRefused
from mothshunt.limits.shares import (
    limit_by_key,
    region_key,
    static_share,
    static_total,
)
from mothshunt.limits.tally import Tally
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
    holder = Holder(name, incarnation, "north", context.now - CANCELLED_WITHIN_S)
    _configure(context, holder)
    return holder


def _start(context, name, count, holder=None):
    holder = holder or context.holder_by_name[name]
    permits = context.permits_by_name.setdefault(name, [])
    lane = holder.lane((KEY,))
    for _ in range(count - holder.in_use(KEY)):
        if holder.lacking(lane, idempotent=False, now=context.now) is None:
            permits.append(holder.acquire(lane, context.now))


def _renew(context, name):
    holder = context.holder_by_name[name]
    result = context.grantor.grant(holder.prepare_renewal(context.now), context.now)
    holder.accept(result.ok, context.now)


def _startable(context, name):
    """Start as many requests as may start, end them, and return how many."""
    holder = context.holder_by_name[name]
    lane = holder.lane((KEY,))
    started = []
    while holder.lacking(lane, idempotent=False, now=context.now) is None:
        started.append(holder.acquire(lane, context.now))
    for permit in started:
        holder.release(permit, context.now)
    return len(started)


def _in_use(context, name):
    return context.holder_by_name[name].in_use(KEY)


@given('holders "{one}" and "{two}" of a region capacity of {limit:d}')
def holders(context, one, two, limit):
    context.now = 1000.0
    context.records = [entry_record(one, "north", 0), entry_record(two, "north", 1)]
    context.configuration = configuration(limit, 2.0, context.records)
    context.grantor = Grantor(1, context.now)
    context.grantor.configure(context.configuration)
    context.holder_by_name = {name: _holder(context, name) for name in (one, two)}
    context.permits_by_name = {}
    for name in (one, two):
        _renew(context, name)


@when('"{name}" uses {count:d} and renews until it is served')
def uses(context, name, count):
    for _ in range(10):
        _start(context, name, count)
        context.now += 0.1
        _renew(context, name)
    _start(context, name, count)
    assert _in_use(context, name) == count, _in_use(context, name)


@when('"{name}" takes a permit that it has not sent yet')
def takes_permit(context, name):
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


@then('"{name}" may start some more')
def may_start_some(context, name):
    assert _startable(context, name) > 0


@then('"{name}" may start {count:d} more')
def may_start(context, name, count):
    assert _startable(context, name) == count, _startable(context, name)


@then('"{name}" may not send on the permit that it took')
def may_not_send(context, name):
    assert not context.holder_by_name[name].may_dispatch(context.permit, context.now)


@then('"{name}" may send on the permit that it took')
def may_send(context, name):
    assert context.holder_by_name[name].may_dispatch(context.permit, context.now)


@when('"{name}" renews')
def renews(context, name):
    _renew(context, name)


@when('"{name}" wants {count:d} and renews')
def wants(context, name, count):
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


@when('both renew each second for {seconds:d} seconds while "{name}" wants {count:d}')
def both_renew(context, seconds, name, count):
    for _ in range(seconds):
        context.now += 1.0
        for holder in context.holder_by_name:
            _renew(context, holder)
        wants(context, name, count)


@then('"{name}" has at least {count:d} in use')
def at_least(context, name, count):
    assert _in_use(context, name) >= count, _in_use(context, name)


@then('"{name}" has at most {count:d} in use')
def at_most(context, name, count):
    assert _in_use(context, name) <= count, _in_use(context, name)


@when("the region capacity is lowered to {limit:d}")
def lowered(context, limit):
    context.configuration = configuration(limit, 2.0, context.records, revision=2)
    context.grantor.configure(context.configuration)
    for holder in context.holder_by_name.values():
        _configure(context, holder)


@then("the use of both is at most {limit:d}")
def use_of_both(context, limit):
    used = [_in_use(context, name) for name in context.holder_by_name]
    assert sum(used) <= limit, used


@when("a new leader is elected")
def new_leader(context):
    context.grantor = Grantor(2, context.now)
    context.grantor.configure(context.configuration)


@then('"{name}" keeps the share for its {count:d}')
def keeps(context, name, count):
    capacity = context.holder_by_name[name].capacity(KEY, context.now)
    assert capacity >= count, capacity


@when('"{name}" is replaced while its predecessor goes on')
def replaced(context, name):
    context.predecessor = context.holder_by_name[name]
    context.permits_by_name.pop(name)
    context.holder_by_name[name] = _holder(context, name, incarnation=2)


@when('the new "{name}" wants {count:d} and renews')
def new_wants(context, name, count):
    wants(context, name, count)


@then('the use of the new "{one}", its predecessor and "{two}" is at most {limit:d}')
def use_of_three(context, one, two, limit):
    # The static share of one name is reserved once.
    record = context.configuration.instance_by_id[one]
    twice = static_share(KEY, limit, record)
    used = [_in_use(context, one), _in_use(context, two)]
    used.append(context.predecessor.capacity(KEY, context.now))
    assert used[0] > 0, "the replacement serves nothing"
    assert sum(used) <= limit + twice, used


@then("the static shares of 4 seats of a limit from 0 to 200 add up to a quarter of it")
def static_shares(context):
    for limit in range(201):
        shares = [
            static_share(KEY, limit, entry_record(f"n{seat}", "north", seat))
            for seat in range(4)
        ]
        assert sum(shares) == static_total(KEY, limit) == limit // 4, shares
        assert max(shares) - min(shares) <= 1, shares


@then("an entry of another region or in a fifth seat has none")
def no_static(context):
    assert static_share(KEY, 100, entry_record("c0", "centre", 0)) == 0
    assert static_share(KEY, 100, entry_record("n4", "north", 4)) == 0


@then(
    "{total:d} divided among own needs of {need:d} and others' wants of {want:d} "
    "gives {own:d} and {other:d}"
)
def divided(context, total, need, want, own, other):
    home = Holding(key=KEY, held=0, static=0, in_use=0, needed=need, wanted=need + 5)
    away = Holding(key=KEY, held=0, static=0, in_use=0, needed=want, wanted=want)
    tally = Tally()
    tally.add_wish(home, True, 1)
    tally.add_wish(away, False, 1)
    parts = [
        divide(total, tally, home, True, Draw("n0", 0)),
        divide(total, tally, away, False, Draw("c0", 0)),
    ]
    assert parts == [own, other], parts


@then("{total:d} divided among {count:d} holders that want more goes to all in turn")
def in_turn(context, total, count):
    wish = Holding(key=KEY, held=0, static=0, in_use=0, needed=3, wanted=3)
    tally = Tally()
    names = [f"n{number}" for number in range(count)]
    for _ in names:
        tally.add_wish(wish, True, 1)
    given = Counter()
    for rotation in range(500):
        for name in names:
            given[name] += divide(total, tally, wish, True, Draw(name, rotation))
    fair = 500 * total / count
    assert all(0.6 * fair < part < 1.4 * fair for part in given.values()), given


@then("a shift cap of 30 in steps of 10 allows 10, 20, 30 and 30 under full use")
def shift_up(context):
    context.shift = ShiftLimit(cap=30, step=10, step_interval_s=1.0)
    context.level = ShiftLevel(level=10, changed_at=0.0)
    allowed = [context.level.update(context.shift, 0, 0.5)]
    for now in (1.0, 2.0, 3.0):
        allowed.append(context.level.update(context.shift, allowed[-1], now))
        again = context.level.update(context.shift, allowed[-1], now + 0.5)
        assert again == allowed[-1], "more than one step in an interval"
    assert allowed == [10, 20, 30, 30], allowed


@then("it allows 20 and 10 when use ends")
def shift_down(context):
    allowed = [context.level.update(context.shift, 0, now) for now in (4.0, 5.0)]
    assert allowed == [20, 10], allowed


class _Log:
    """A replicated log that finds no majority."""

    def __init__(self, leader):
        self.leader = leader

    def status(self):
        return SimpleNamespace(leader=self.leader, term=1)

    async def async_confirm_leadership(self, timeout_s):
        return Error(Failure(code=NOT_LEADER))


class _Network:
    """Streams that keep what was sent over them."""

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
    context.control = LimitsGrantorCoordinator(
        instance="k0",
        network=context.network,
        log=_Log(leader),
        configuration=source,
        clock=SimpleNamespace(monotonic=lambda: context.now),
        metrics=Metrics(),
    )


def _renewal():
    return Renewal(holder="n0", incarnation=1, sequence=1, revision=1, holdings=())


@given("a control instance that believes to lead but finds no majority")
def false_leader(context):
    _control(context, "k0")


@given("a control instance that follows another")
def follower(context):
    _control(context, "k1")


@then("a renewal to it is refused")
@async_run_until_complete
async def refused(context):
    answer = await context.control.async_handle("n0", _renewal())
    assert isinstance(answer, RenewalRefused), answer


@then("a renewal to it is passed on, and a passed on one is refused")
@async_run_until_complete
async def passed_on(context):
    answer = await context.control.async_handle("n0", _renewal())
    assert isinstance(answer, Grant), answer
    assert [peer for peer, _ in context.network.sent] == ["k1"]
    again = dataclasses.replace(_renewal(), forwarded=True)
    answer = await context.control.async_handle("k2", again)
    assert isinstance(answer, RenewalRefused), answer
    assert len(context.network.sent) == 1

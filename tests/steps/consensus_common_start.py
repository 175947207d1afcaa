"""Steps for elections after a common start."""

from behave import then

from mothshunt.consensus import const
from tests.support.consensus_timed import START_SPREAD_S, TimedNodes

SYNC_S = 0.005
MOST_S = 60.0


def names(text):
    return [name.strip() for name in text.split(",") if name.strip()]


def round_s(way_s):
    """Return the longest time of a round: the wait, two round trips and two syncs."""
    return const.LOST_MAX_S + 4 * way_s + 2 * SYNC_S


@then(
    'in {count:d} starts of voters "{voters}" with "{down}" down'
    " and a way of {way:g} ms a leader is elected in one round"
)
@then(
    'in {count:d} starts of voters "{voters}" with "" down'
    " and a way of {way:g} ms a leader is elected in one round"
)
def elected_in_one_round(context, count, voters, way, down=""):
    way_s = way / 1000
    bound_s = START_SPREAD_S + round_s(way_s)
    worst_s = 0.0
    for seed in range(count):
        nodes = TimedNodes(seed, names(voters), way_s, SYNC_S, names(down))
        took_s = nodes.run_until_led(MOST_S)
        assert took_s <= bound_s, (seed, took_s, bound_s)
        worst_s = max(worst_s, took_s)
    print(f"worst: {worst_s:.2f} of {bound_s:.2f} s")


@then(
    'in {count:d} starts of voters "{voters}" a leader is elected in two rounds'
    ' although "{deaf}" hears nobody'
)
def elected_beside_deaf(context, count, voters, deaf):
    way_s = 0.035
    bound_s = START_SPREAD_S + 2 * round_s(way_s)
    for seed in range(count):
        nodes = TimedNodes(seed, names(voters), way_s, SYNC_S)
        nodes.cut = {(other, deaf) for other in names(voters) if other != deaf}
        took_s = nodes.run_until_led(MOST_S)
        assert nodes.leader() != deaf
        assert took_s <= bound_s, (seed, took_s, bound_s)

"""Steps for the order of renewals."""

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings
from hypothesis import strategies as st

from mothshunt.registry.messages import Renewal, RenewalState
from mothshunt.registry.state import TargetRegistry


def renewal(target, incarnation=1, sequence=1, port=80, state="serving") -> Renewal:
    return Renewal(
        target=target,
        incarnation=incarnation,
        sequence=sequence,
        service="s",
        host="10.0.0.1",
        port=port,
        region="r",
        availability_zone="z",
        slots=2,
        state=RenewalState(state),
    )


@given("a registry")
def registry(context):
    context.registry = TargetRegistry()
    context.sequence = 0


@when(
    'target "{name}" renews with incarnation {incarnation:d} '
    "and sequence {sequence:d} as {state}"
)
def renews(context, name, incarnation, sequence, state):
    context.registry.apply_renewal(
        renewal(name, incarnation, sequence, state=state), 1.0
    )


@when('target "{name}" with incarnation {incarnation:d} renews at port {port:d}')
@when(
    'target "{name}" with incarnation {incarnation:d} renews at port {port:d} once more'
)
def renews_at(context, name, incarnation, port):
    context.sequence += 1
    context.registry.apply_renewal(
        renewal(name, incarnation, context.sequence, port), 1.0
    )


@when('target "{first}" renews at {one:d} s and target "{second}" at {two:d} s')
def renew_at_times(context, first, one, second, two):
    context.registry.apply_renewal(renewal(first, port=1), float(one))
    context.registry.apply_renewal(renewal(second, port=2), float(two))


@then('target "{name}" is {state}')
def has_state(context, name, state):
    stored = context.registry.known_by_target[name].renewal
    assert stored.state is RenewalState(state), stored


@then('the registry knows only "{name}"')
def knows_only(context, name):
    assert list(context.registry.known_by_target) == [name]


@then('"{first}" has been silent for {one:d} s and "{second}" for {two:d} s')
def silent_for(context, first, one, second, two):
    known = context.registry.known_by_target
    assert context.registry.renewal_lag_s(known[first]) == one
    assert context.registry.renewal_lag_s(known[second]) == two


RENEWALS = st.builds(
    renewal,
    st.sampled_from(["a", "b", "c"]),
    st.integers(1, 3),
    st.integers(1, 4),
    st.just(80),
    st.sampled_from(["serving", "leaving"]),
)


@then("any order of the same renewals gives the same targets")
def order_does_not_matter(context):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @property_given(
        st.lists(
            RENEWALS, max_size=12, unique_by=lambda r: (r.incarnation, r.sequence)
        ),
        st.randoms(use_true_random=False),
    )
    def check(renewals, random):
        # Without a shared address no target replaces another.
        port_by_target = {"a": 1, "b": 2, "c": 3}
        with_own_port = [
            renewal(r.target, r.incarnation, r.sequence, port_by_target[r.target])
            for r in renewals
        ]
        results = []
        for _ in range(2):
            target_registry = TargetRegistry()
            for item in with_own_port:
                target_registry.apply_renewal(item, 1.0)
            results.append(
                {t: k.renewal for t, k in target_registry.known_by_target.items()}
            )
            random.shuffle(with_own_port)
        assert results[0] == results[1]

    check()

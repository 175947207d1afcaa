"""Steps for the order of renewals."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings
from hypothesis import strategies as st

from mothshunt.registry.coordinator import RegistryFollower, RegistryPublisher
from mothshunt.registry.intake import TargetIntake
from mothshunt.registry.messages import RegistryRequest, Renewal, RenewalState
from mothshunt.registry.state import TargetRegistry
from mothshunt.util import wire
from tests.support.recording_network import ManualClock, RecordingNetwork


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


class EncodingNetwork(RecordingNetwork):
    """Network that encodes each message, as streams do."""

    def post(self, peer, message):
        wire.pack(message)
        return super().post(peer, message)


@given("a control instance that receives renewals")
def receiving_instance(context):
    context.network = EncodingNetwork()
    context.publisher = RegistryPublisher(
        network=context.network,
        clock=ManualClock(),
        follower=RegistryFollower(context.network, ManualClock(), 1.5),
        entries=lambda: ("entry",),
        primary_entries=lambda: ("entry",),
        control_peers=lambda: (),
    )
    context.intake = TargetIntake(context.publisher, routing=None)
    context.result_by_target = {}


@when('the target "{name}" of release "{release}" renews itself there')
def renews_itself(context, name, release):
    release = release.replace("<half of a surrogate pair>", "\ud83d")
    port = 80 + len(context.result_by_target)
    renewing = replace(renewal(name, port=port), release=release)
    result = asyncio.run(context.intake.async_renew(renewing))
    context.result_by_target[name] = result


@then('the renewal of "{odd}" is refused with code {code:d}, that of "{sound}" is not')
def odd_is_refused(context, odd, code, sound):
    refused = context.result_by_target[odd]
    assert refused.is_error(), refused
    assert refused.error.code.number == code, refused
    assert context.result_by_target[sound].is_ok(), context.result_by_target


@then('the target "{name}" is sent to the entry instances')
def is_sent(context, name):
    context.publisher._flush(ManualClock().now)
    (rows,) = context.network.posted_by_peer["entry"]
    assert [row[0] for row in rows.rows] == [name], rows


@then('an instance that requests all targets gets "{name}"')
def gets_all(context, name):
    context.publisher._on_request("other", RegistryRequest())
    (rows,) = context.network.posted_by_peer["other"]
    assert [row[0] for row in rows.rows] == [name], rows

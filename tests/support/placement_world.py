"""Placements, targets and requests for tests of the choice of a target."""

from random import Random

from mothshunt.placement.model import (
    AttemptOutcome,
    PlacementRequest,
    ReportedLoad,
    RoutableTarget,
)
from mothshunt.placement.state import Placement
from mothshunt.placement.target_load import TargetLoad

SERVICE = "s"


def target(number, slots, zone="north-a", region="north") -> RoutableTarget:
    return RoutableTarget(
        id=f"{zone}-{number}",
        incarnation=1,
        service=SERVICE,
        host="10.0.0.1",
        port=number + 1,
        region=region,
        availability_zone=zone,
        slots=slots,
    )


def placement(
    targets, *, seed=1, cold_limits=None, cold_share=1.0, cold_until=0.0
) -> Placement:
    built = Placement(
        zone="north-a",
        region="north",
        max_region_shift=0.15,
        renewal_interval_s=1.5,
        random=Random(seed),
        cold_share=lambda zone, now: cold_share,
    )
    built.replace_targets(
        [TargetLoad(target=t, renewed_at=0.0, cold_until=cold_until) for t in targets],
        cold_limits or {},
    )
    return built


def request(key, *, latency_s=0.25, left_s=1.0, homes=()) -> PlacementRequest:
    return PlacementRequest(
        service=SERVICE,
        affinity_key=key,
        target_latency_s=latency_s,
        time_left_s=left_s,
        home_regions=frozenset(homes),
    )


def serve(the_placement, key, now, took_s, **options):
    """Return the target chosen for a request, which it answers."""
    choice = the_placement.choose(request(key, **options), now).ok
    the_placement.finish(choice, AttemptOutcome.ANSWERED, None, now + took_s)
    return choice.target


def chosen_id(the_placement, key, now=0.0, **options):
    """Return the target that a request would get, and release its reservation."""
    choice = the_placement.choose(request(key, **options), now).ok
    the_placement.finish(choice, AttemptOutcome.CANCELLED, None, now)
    return choice.target.id


def idle_report(slots) -> ReportedLoad:
    return ReportedLoad(running=1, waiting=0, slots=slots)

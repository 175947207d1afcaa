"""The most that any way to choose targets could earn in a scenario.

It is a bound, not a goal: it knows all requests beforehand, waits for nobody, and each
object is unknown to one target only, once. What it can't have is more work in a window
than all slots of a service can do, or an answer sooner than the fastest target gives.
"""

from collections import defaultdict
from dataclasses import dataclass

from bench.load.arrivals import arrivals
from bench.load.report import WINDOW_S
from bench.load.scenario import EventKind, KindPlan, Scenario, ServicePlan
from mothshunt.core.types import ServiceName


@dataclass(slots=True)
class Window:
    """Hold what is asked of one service in one window.

    :param work_ms: Time of slots that it takes.
    :param owed: What all of it is worth.
    :param possible: What can be earned of that if there is room.
    """

    work_ms: float = 0.0
    owed: float = 0.0
    possible: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Bound:
    """Hold the most that could be earned.

    :param worth: As a part of all that is owed.
    :param by_window: The same for each window of time.
    :param binds: What keeps it below 1.
    """

    worth: float
    by_window: list[float]
    binds: str


def worth_bound(scenario: Scenario) -> Bound:
    """Work out the most that could be earned.

    :param scenario: The scenario.
    """
    count = max(1, round(scenario.seconds / WINDOW_S))
    windows: dict[tuple[ServiceName, int], Window] = defaultdict(Window)
    seen: set[str] = set()
    lost_to_unknown = 0.0
    for arrival in arrivals(scenario):
        plan = scenario.service(arrival.kind.service)
        is_known = arrival.key is not None and arrival.key in seen
        seen.add(arrival.key)
        index = min(count - 1, int(arrival.at / WINDOW_S))
        window = windows[(plan.name, index)]
        work_ms = plan.known_ms if is_known else plan.unknown_ms
        window.work_ms += work_ms * plan.work_factor(arrival.kind)
        window.owed += arrival.kind.worth
        possible = _possible(arrival.kind, plan, scenario, is_known=is_known)
        window.possible += possible
        lost_to_unknown += arrival.kind.worth - possible
    earned_by_window = [0.0] * count
    owed_by_window = [0.0] * count
    lost_to_slots = 0.0
    for (service, index), window in windows.items():
        room_ms = _room_ms(scenario, scenario.service(service), index)
        part = min(1.0, room_ms / window.work_ms) if window.work_ms else 1.0
        earned_by_window[index] += window.possible * part
        owed_by_window[index] += window.owed
        lost_to_slots += window.possible * (1 - part)
    owed = sum(owed_by_window) or 1.0
    return Bound(
        worth=sum(earned_by_window) / owed,
        by_window=[
            earned / owed_here if owed_here else 1.0
            for earned, owed_here in zip(earned_by_window, owed_by_window, strict=True)
        ],
        binds=(
            f"{lost_to_unknown / owed:.3f} to objects that no target knows yet, "
            f"{lost_to_slots / owed:.3f} to slots"
        ),
    )


def _possible(
    kind: KindPlan, plan: ServicePlan, scenario: Scenario, *, is_known: bool
) -> float:
    usual_ms = plan.known_ms if is_known else plan.unknown_ms
    usual_ms *= plan.work_factor(kind)
    least_ms = usual_ms * (1 - plan.speed_spread) + 2 * scenario.caller_ms
    return kind.worth if least_ms <= kind.target_latency_ms else kind.late_worth


def _room_ms(scenario: Scenario, plan: ServicePlan, index: int) -> float:
    """Return the time of slots that a service has in a window."""
    middle = (index + 0.5) * WINDOW_S
    part = 1.0
    for event in scenario.events:
        if event.kind is EventKind.RESTART_TARGETS and event.holds(middle):
            part -= event.share if event.zone is None else 0.0
    # As if all targets were as fast as the fastest may be.
    speed = 1 / (1 - plan.speed_spread)
    return plan.targets * plan.slots * WINDOW_S * 1000 * max(0.0, part) * speed

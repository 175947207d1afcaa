"""How far drains have come."""

from collections.abc import Iterator, Sequence

from mothshunt.admin.deployment_model import DrainDocument
from mothshunt.configuration.service import InstanceStatus
from mothshunt.core.types import Revision
from mothshunt.discovery.model import Target
from mothshunt.drain.model import Drain, DrainKind

STATE_LOST = "lost"


def drain_document(
    drain: Drain,
    revision: Revision,
    statuses: Sequence[InstanceStatus],
    targets: Sequence[Target],
) -> DrainDocument:
    """Describe a drain and how far it has come.

    :param drain: The drain.
    :param revision: Revision at which it was made.
    :param statuses: State of every recorded instance.
    :param targets: Targets that are known here.
    """
    reachable = [status for status in statuses if status.state != STATE_LOST]
    pending = tuple(s.id for s in reachable if s.revision < revision)
    counts = tuple(_in_flight(drain, reachable, targets))
    in_flight = sum(counts) if counts else None
    return DrainDocument(
        kind=drain.kind.value,
        name=drain.name,
        reason=drain.reason,
        revision=revision,
        in_force_on=tuple(s.id for s in reachable if s.revision >= revision),
        pending_on=pending,
        lost=tuple(s.id for s in statuses if s.state == STATE_LOST),
        in_flight=in_flight,
        complete=not pending and not in_flight,
    )


def _in_flight(
    drain: Drain, reachable: Sequence[InstanceStatus], targets: Sequence[Target]
) -> Iterator[int]:
    for status in reachable:
        if drain.name == _instance_place(drain.kind, status):
            yield status.in_flight
    for target in targets:
        if drain.name == _target_place(drain.kind, target) and target.report:
            yield target.report.in_flight


def _instance_place(kind: DrainKind, status: InstanceStatus) -> str | None:
    match kind:
        case DrainKind.INSTANCE:
            return status.id
        case DrainKind.AVAILABILITY_ZONE:
            return status.availability_zone
        case DrainKind.REGION:
            return status.region
        case DrainKind.TARGET:
            return None


def _target_place(kind: DrainKind, target: Target) -> str | None:
    match kind:
        case DrainKind.TARGET:
            return target.id
        case DrainKind.AVAILABILITY_ZONE:
            return target.availability_zone
        case DrainKind.REGION:
            return target.region
        case DrainKind.INSTANCE:
            return None

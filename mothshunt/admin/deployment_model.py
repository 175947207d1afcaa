"""Answers on the deployment: drains, operators, instances, voters and codes."""

from dataclasses import dataclass

from mothshunt.access.model import Grant
from mothshunt.admin.model import ChangeDocument
from mothshunt.core.types import InstanceId, OperatorId, Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainDocument:
    """Show one drain and how far it has come, as last reported.

    :param kind: What is drained.
    :param name: Its name.
    :param reason: Text for other operators.
    :param revision: Revision at which it was made.
    :param in_force_on: Reachable instances that hold the drain.
    :param pending_on: Reachable instances that don't hold it yet.
    :param lost: Instances that are unreachable.
    :param in_flight: Requests still in flight at what is drained; ``None`` where
        that is not known.
    :param cached_lookups_s: Seconds for which callers may still use look-ups that
        name what is drained.
    :param complete: Whether the drain is in force on all reachable instances, those
        look-ups have expired, and reports made since show nothing in flight.
    """

    kind: str
    name: str
    reason: str
    revision: Revision
    in_force_on: tuple[InstanceId, ...]
    pending_on: tuple[InstanceId, ...]
    lost: tuple[InstanceId, ...]
    in_flight: int | None
    cached_lookups_s: float
    complete: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainList:
    """List the drains.

    :param drains: Sorted by kind and name.
    """

    drains: tuple[DrainDocument, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorDocument:
    """Show one operator.

    :param id: Name of the operator.
    :param revision: Revision of its last change.
    :param grants: Its roles.
    """

    id: OperatorId
    revision: Revision
    grants: tuple[Grant, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorList:
    """List the operators.

    :param operators: Sorted by name.
    """

    operators: tuple[OperatorDocument, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorChangeDocument:
    """Tell that an operator was changed.

    :param change: What became of the change.
    :param token: New token; shown in this answer only, ``None`` where none was made.
    """

    change: ChangeDocument
    token: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceDocument:
    """Show how one instance stands.

    :param id: Name of the instance.
    :param region: Its region.
    :param availability_zone: Its availability zone.
    :param roles: Its duties.
    :param state: What it last reported of itself, or ``lost``.
    :param revision: Revision in force there as last reported.
    :param holds_newest: Whether that is the newest revision.
    :param age_s: Seconds since it was last heard of; ``None`` when never.
    :param in_flight: Requests in flight there as last reported.
    :param traffic: ``host:port`` for callers; empty without the role ``entry``.
    :param admin: ``host:port`` of its administration API.
    """

    id: InstanceId
    region: str
    availability_zone: str
    roles: tuple[str, ...]
    state: str
    revision: Revision
    holds_newest: bool
    age_s: float | None
    in_flight: int
    traffic: str
    admin: str


@dataclass(frozen=True, kw_only=True, slots=True)
class InstanceList:
    """Show how the instances stand.

    :param answered_by: Instance that gives this answer.
    :param newest_revision: Highest revision that is known here.
    :param instances: Sorted by name.
    """

    answered_by: InstanceId
    newest_revision: Revision
    instances: tuple[InstanceDocument, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class VoterChangeDocument:
    """Tell that the voters were changed.

    :param voter: Instance that was added or removed.
    :param log_index: Position of the change in the replicated log; ``None`` where
        the voters already were as asked for.
    """

    voter: InstanceId
    log_index: int | None


@dataclass(frozen=True, kw_only=True, slots=True)
class CodeDocument:
    """Explain one result code.

    :param code: Number of the result code.
    :param name: Name of the result code.
    :param http_status: Status of an HTTP answer that carries it.
    :param summary: What happened.
    :param action: What the reader can do about it.
    """

    code: int
    name: str
    http_status: int
    summary: str
    action: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CodeList:
    """List the result codes.

    :param codes: Sorted by number.
    """

    codes: tuple[CodeDocument, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthDocument:
    """Tell that the process answers.

    :param status: ``ok``.
    """

    status: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadinessDocument:
    """Tell whether the instance is ready.

    :param ready: Whether it takes requests.
    :param revision: Revision in force here.
    """

    ready: bool
    revision: Revision

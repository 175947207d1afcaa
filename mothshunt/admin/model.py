"""Answers of the administration API; their fields are its JSON documents."""

from dataclasses import dataclass
from typing import Any

from mothshunt.access.model import Grant
from mothshunt.contract.diff import DiffLine
from mothshunt.core.types import ChangeId, CustomerId, InstanceId, OperatorId, Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultDocument:
    """Name one fault of a document that was sent.

    :param code: Number of the result code.
    :param name: Name of the result code.
    :param path: Place of the fault in the document.
    :param detail: Text for a person.
    """

    code: int
    name: str
    path: str
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class WinnerDocument:
    """Name the change that was accepted in place of the one that was sent.

    :param change_id: The winning change.
    :param operator: Who made it.
    :param revision: Revision at which it was accepted.
    """

    change_id: ChangeId
    operator: OperatorId
    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlAddress:
    """Name the administration API of one control instance.

    :param instance: Name of the instance.
    :param url: Base URL of its administration API.
    """

    instance: InstanceId
    url: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorDocument:
    """Tell why a request was refused.

    :param code: Number of the result code.
    :param name: Name of the result code.
    :param detail: Text for a person.
    :param ran: ``no`` when nothing was changed, ``unknown`` when it may be.
    :param path: Place of the fault in the document, where there is one.
    :param faults: Every fault of the document that was sent.
    :param retry_after_s: Seconds after which to try again.
    :param change_id: The change that was asked for.
    :param winner: The change that was accepted in its place.
    :param control: Control instances to ask instead.
    """

    code: int
    name: str
    detail: str
    ran: str
    path: str | None = None
    faults: tuple[FaultDocument, ...] | None = None
    retry_after_s: float | None = None
    change_id: ChangeId | None = None
    winner: WinnerDocument | None = None
    control: tuple[ControlAddress, ...] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeDocument:
    """Tell what became of a change.

    :param status: ``accepted``, ``conflict`` or ``refused``.
    :param change_id: The change.
    :param operator: Who made it.
    :param revision: Revision at which it was accepted.
    :param repeated: Whether this is the first answer given once more.
    :param detail: Text for a person.
    """

    status: str
    change_id: ChangeId
    operator: OperatorId
    revision: Revision
    repeated: bool = False
    detail: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class ContractDocument:
    """Show one contract.

    :param customer: Name of the customer.
    :param revision: Revision of its last change; the base of the next one.
    :param contract: The contract.
    """

    customer: CustomerId
    revision: Revision
    contract: Any


@dataclass(frozen=True, kw_only=True, slots=True)
class ContractSummary:
    """Name one contract.

    :param customer: Name of the customer.
    :param revision: Revision of its last change.
    """

    customer: CustomerId
    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class ContractList:
    """Name the contracts that the operator may read.

    :param contracts: Sorted by customer.
    """

    contracts: tuple[ContractSummary, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ValidationDocument:
    """Tell that a contract has no fault.

    :param customer: Customer that the contract names.
    """

    customer: CustomerId


@dataclass(frozen=True, kw_only=True, slots=True)
class DiffDocument:
    """Show what a contract that was sent would change.

    :param customer: Name of the customer.
    :param revision: Revision of the present contract; 0 where there is none.
    :param lines: Values that differ.
    """

    customer: CustomerId
    revision: Revision
    lines: tuple[DiffLine, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordDocument:
    """Tell of one accepted change.

    :param revision: Revision at which it was accepted.
    :param change_id: The change.
    :param operator: Who made it.
    :param section: Kind of the item that it changed.
    :param name: Name of the item.
    :param summary: Text of the operator.
    :param made_at: Wall clock of the instance that took it, ISO 8601 in UTC.
    :param removed: Whether the change removed the item.
    :param value: The item after the change, where the request asks for it.
    """

    revision: Revision
    change_id: ChangeId
    operator: OperatorId
    section: str
    name: str
    summary: str
    made_at: str
    removed: bool
    value: Any = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordList:
    """List accepted changes.

    :param records: Newest first.
    """

    records: tuple[RecordDocument, ...]


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
    :param complete: Whether the drain is in force on all reachable instances and
        nothing is known to be in flight.
    """

    kind: str
    name: str
    reason: str
    revision: Revision
    in_force_on: tuple[InstanceId, ...]
    pending_on: tuple[InstanceId, ...]
    lost: tuple[InstanceId, ...]
    in_flight: int | None
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
class ReadinessDocument:
    """Tell whether the instance is ready.

    :param ready: Whether it takes requests.
    :param revision: Revision in force here.
    """

    ready: bool
    revision: Revision

"""Answers of the administration API on refusals, changes, contracts and records.

Their fields are the JSON documents of the API.
"""

from dataclasses import dataclass
from typing import Any

from mothshunt.contract.diff import DiffLine
from mothshunt.core.types import (
    ChangeId,
    CustomerId,
    InstanceId,
    OperatorId,
    RegionId,
    Revision,
)


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
    :param faults: Every fault of the document that was sent, the first 1000 of more.
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
    :param operator: Who made it; ``None`` where it was not accepted.
    :param revision: Revision at which it was accepted; ``None`` where it was not.
    :param repeated: Whether this is the first answer given once more.
    :param detail: Text for a person.
    :param winner: The change that was accepted in its place.
    """

    status: str
    change_id: ChangeId
    operator: OperatorId | None
    revision: Revision | None
    repeated: bool = False
    detail: str = ""
    winner: WinnerDocument | None = None


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
    :param regions_without_entry: Regions of the contract in which no entry instance
        is recorded; a misspelt name shows here.
    """

    customer: CustomerId
    regions_without_entry: tuple[RegionId, ...]


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
    :param made_at: Wall clock of the instance that took it, ISO 8601 in UTC; ``None``
        for what the system did itself.
    :param removed: Whether the change removed the item.
    :param value: The item after the change, where the request asks for it.
    """

    revision: Revision
    change_id: ChangeId
    operator: OperatorId
    section: str
    name: str
    summary: str
    made_at: str | None
    removed: bool
    value: Any = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordList:
    """List accepted changes.

    :param records: Newest first.
    """

    records: tuple[RecordDocument, ...]

"""Messages about which instances are reachable."""

from dataclasses import dataclass

from mothshunt.core.types import Incarnation, InstanceId, InstanceState, Revision
from mothshunt.membership.model import InstanceRecord
from mothshunt.util.wire import message


@message("membership.report")
@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """State of an instance, sent to the control instance that it is attached to.

    :param instance: Name of the instance.
    :param incarnation: Number that increases each time the instance restarts.
    :param attach: Number that increases each time the instance attaches to a control
        instance.
    :param state: State of the instance.
    :param load: Requests in flight, rounded up to a power of two.
    :param revision: Revision in force.
    """

    instance: InstanceId
    incarnation: Incarnation
    attach: int
    state: InstanceState
    load: int
    revision: Revision


@message("membership.row")
@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """Presence of one instance.

    :param instance: Name of the instance.
    :param incarnation: Number that increases each time the instance restarts.
    :param attach: Number that increases each time the instance attaches to a control
        instance.
    :param change: Number that increases with each change of the row during one
        attachment.
    :param state: State of the instance; ``None`` when it is lost.
    :param load: Requests in flight, rounded up to a power of two.
    """

    instance: InstanceId
    incarnation: Incarnation
    attach: int
    change: int
    state: InstanceState | None
    load: int


@message("membership.rows")
@dataclass(frozen=True, kw_only=True, slots=True)
class Rows:
    """Presence of several instances.

    :param rows: The rows that changed, or all of them.
    :param is_whole: Whether these are all rows, which replace those of the receiver.
    """

    rows: tuple[Row, ...]
    is_whole: bool = False


@message("membership.hub_rows")
@dataclass(frozen=True, kw_only=True, slots=True)
class HubRows:
    """Presence of the instances attached to one control instance, for another one.

    :param rows: The rows that changed, or all of them.
    """

    rows: tuple[Row, ...]


@message("membership.standing_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class StandingRequest:
    """Request for the reports that a control instance holds."""


@message("membership.standing")
@dataclass(frozen=True, kw_only=True, slots=True)
class Standing:
    """Last report of one instance, in a response to ``StandingRequest``.

    :param report: The report.
    :param age_ms: Milliseconds since it was received.
    """

    report: Report
    age_ms: int


@message("membership.standings")
@dataclass(frozen=True, kw_only=True, slots=True)
class Standings:
    """Response to ``StandingRequest`` with the reports that a control instance holds.

    :param standings: The reports, one for each attached instance.
    """

    standings: tuple[Standing, ...]


@message("membership.join")
@dataclass(frozen=True, kw_only=True, slots=True)
class Join:
    """Request to a control instance to record the sender.

    :param record: Record of the sender; its seat is ignored.
    """

    record: InstanceRecord


@message("membership.leave")
@dataclass(frozen=True, kw_only=True, slots=True)
class Leave:
    """Request to a control instance to remove the sender, which stops for good.

    :param instance: Name of the sender.
    """

    instance: InstanceId


@message("membership.done")
@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """Response to ``Join`` and ``Leave``.

    :param is_accepted: Whether the request was committed.
    :param incarnation: Incarnation of the instance from now on; 0 after ``Leave``.
    :param detail: Explanation for an operator.
    """

    is_accepted: bool
    incarnation: Incarnation
    detail: str = ""

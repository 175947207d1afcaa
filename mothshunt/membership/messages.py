"""Messages about which instances are reachable."""

from dataclasses import dataclass

from mothshunt.core.types import Incarnation, InstanceId, InstanceState, Revision
from mothshunt.membership.model import InstanceRecord
from mothshunt.util.wire import message


@message("membership.report")
@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Tell the control instance that this instance is attached to how it stands.

    :param instance: Name of the instance.
    :param incarnation: Grows each time the instance starts again.
    :param attach: Grows each time the instance attaches to a control instance.
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
    """Tell of one instance.

    :param instance: Name of the instance.
    :param incarnation: Grows each time the instance starts again.
    :param attach: Grows each time the instance attaches to a control instance.
    :param change: Grows with each change of the row at one attachment.
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
    """Tell of instances.

    :param rows: The rows that changed, or all of them.
    :param is_whole: Whether these are all rows, to replace what is held.
    """

    rows: tuple[Row, ...]
    is_whole: bool = False


@message("membership.hub_rows")
@dataclass(frozen=True, kw_only=True, slots=True)
class HubRows:
    """Tell another control instance of the instances that are attached here.

    :param rows: The rows that changed, or all of them.
    """

    rows: tuple[Row, ...]


@message("membership.standing_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class StandingRequest:
    """Ask a control instance for the reports that it holds."""


@message("membership.standing")
@dataclass(frozen=True, kw_only=True, slots=True)
class Standing:
    """Answer with the last report of one instance.

    :param report: The report.
    :param age_ms: Milliseconds since it was received.
    """

    report: Report
    age_ms: int


@message("membership.standings")
@dataclass(frozen=True, kw_only=True, slots=True)
class Standings:
    """Answer with the reports that a control instance holds.

    :param standings: The reports, one for each attached instance.
    """

    standings: tuple[Standing, ...]


@message("membership.join")
@dataclass(frozen=True, kw_only=True, slots=True)
class Join:
    """Ask a control instance to record this instance.

    :param record: The instance; its seat is ignored.
    """

    record: InstanceRecord


@message("membership.leave")
@dataclass(frozen=True, kw_only=True, slots=True)
class Leave:
    """Ask a control instance to remove this instance, which is stopping for good.

    :param instance: Name of the instance.
    """

    instance: InstanceId


@message("membership.done")
@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """Answer to ``Join`` and ``Leave``.

    :param is_accepted: Whether it was committed.
    :param incarnation: Incarnation of the instance from now on; 0 after ``Leave``.
    :param detail: Text for a person.
    """

    is_accepted: bool
    incarnation: Incarnation
    detail: str = ""

"""Log lines of the membership slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.core.types import (
    InstanceId,
)
from mothshunt.helpers.log import Level, log_event


@log_event("attached", slice_name="membership")
@dataclass(frozen=True, kw_only=True, slots=True)
class Attached:
    """Connection of a stream to a control instance that had none.

    :param control: The control instance.
    :param attached: Number of control instances that this instance has a stream to.
    """

    control: InstanceId
    attached: int


@log_event("detached", slice_name="membership", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class Detached:
    """Loss of the last stream between this instance and one control instance.

    :param control: The control instance.
    :param attached: Number of control instances that this instance still has a stream
        to; at 0 it goes on with the state that it has and receives no changes.
    """

    control: InstanceId
    attached: int


@log_event("entry instance", slice_name="membership")
@dataclass(frozen=True, kw_only=True, slots=True)
class EntryChanged:
    """New entry instance, or new state of one, as received by a control instance.

    :param entry: The entry instance.
    :param state: State of the entry instance.
    """

    entry: InstanceId
    state: str


@log_event("entry instances are gone", slice_name="membership", level=Level.WARNING)
@dataclass(frozen=True, kw_only=True, slots=True)
class EntriesGone:
    """Removal of entry instances without a stream from a control instance's list.

    :param entries: The entry instances.
    :param left: Number of entry instances that streams still lead to.
    """

    entries: tuple[InstanceId, ...]
    left: int

"""Status of the instances of a routed deployment, for operators."""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Ok, Result

from mothshunt.configuration.service import InstanceStatus
from mothshunt.core.clock import Clock
from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId, InstanceState, Revision, Role
from mothshunt.membership.roster import AttachedEntry, RosterTable
from mothshunt.settings.config import InstanceSettings

STATE_LOST = "lost"


@dataclass(slots=True, eq=False)
class RosterStatus:
    """``StatusService`` of the entry instances attached to this control instance.

    :param own: Settings of this instance.
    :param table: Entry instances attached here.
    :param control: Returns the names of the control instances.
    :param revision: Returns the revision in force here.
    :param clock: Source of the present time.
    """

    own: InstanceSettings
    table: RosterTable
    control: Callable[[], frozenset[InstanceId]]
    revision: Callable[[], int]
    clock: Clock

    async def async_instances(
        self, timeout_s: float
    ) -> Result[tuple[InstanceStatus, ...], Failure]:
        """Return this instance and the entry instances, sorted by id.

        :param timeout_s: Not used, because no other instance is asked.
        """
        now = self.clock.monotonic()
        control = self.control()
        by_id = {
            id: _entry_status(entry, now, is_control=id in control)
            for id, entry in self.table.entry_by_id.items()
        }
        by_id[self.own.id] = self._own_status()
        return Ok(tuple(status for _, status in sorted(by_id.items())))

    def _own_status(self) -> InstanceStatus:
        return InstanceStatus(
            id=self.own.id,
            region=self.own.region,
            availability_zone=self.own.availability_zone,
            roles=tuple(role.value for role in self.own.roles),
            state=InstanceState.READY.value,
            revision=Revision(self.revision()),
            age_s=0.0,
            in_flight=0,
        )


def _entry_status(
    entry: AttachedEntry, now: float, *, is_control: bool
) -> InstanceStatus:
    report = entry.report
    roles = (Role.ENTRY, Role.CONTROL) if is_control else (Role.ENTRY,)
    is_lost = entry.detached_at is not None
    return InstanceStatus(
        id=report.instance,
        region=report.region,
        availability_zone=report.availability_zone,
        roles=tuple(role.value for role in roles),
        state=STATE_LOST if is_lost else report.state.value,
        revision=Revision(entry.load.revision),
        age_s=max(0.0, now - entry.reported_at),
        in_flight=entry.load.in_flight,
    )

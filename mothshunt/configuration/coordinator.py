"""Changes and majority-confirmed reads of the configuration at a control instance."""

from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from mothshunt.configuration import codes
from mothshunt.configuration.messages import Change, ChangeOutcome
from mothshunt.configuration.model import ItemKey, Section
from mothshunt.configuration.service import AuditRecord, Item
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.consensus.model import ReplicatedLog
from mothshunt.core.codes import Failure
from mothshunt.core.types import ChangeId, Ran
from mothshunt.util import wire


@dataclass(slots=True, eq=False)
class ConfigurationCoordinator:
    """``ConfigurationService`` on top of the replicated log.

    :param state: State machine with the replicated configuration.
    :param log: Replicated log whose commands ``state`` applies.
    """

    state: ReplicatedConfiguration
    log: ReplicatedLog

    async def async_submit(
        self, change: Change, timeout_s: float
    ) -> Result[ChangeOutcome, Failure]:
        """Commit a change; see ``ConfigurationService``."""
        match await self.async_propose(change, timeout_s):
            case Result(tag="ok", ok=ChangeOutcome() as outcome):
                return Ok(outcome)
            case Result(tag="ok", ok=other):
                return _bad_outcome(other)
            case Result(error=failure):
                return Error(failure)

    async def async_propose(
        self, command: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Commit a command of ``ReplicatedConfiguration``.

        :param command: One of the classes in ``ReplicatedConfiguration.commands``.
        :param timeout_s: Longest wait for the commit, in seconds.
        :return: Outcome of the command, a registered message.
        """
        match await self.log.async_propose(wire.pack(command), timeout_s):
            case Result(tag="ok", ok=answer):
                return wire.unpack(answer)
            case Result(error=failure):
                return Error(failure)

    async def async_find(
        self, change_id: ChangeId, timeout_s: float
    ) -> Result[ChangeOutcome | None, Failure]:
        """Return the outcome of a change; see ``ConfigurationService``."""

        def read() -> ChangeOutcome | None:
            remembered = self.state.change_by_id.get(change_id)
            return None if remembered is None else remembered.outcome

        return (await self.log.async_read_barrier(timeout_s)).map(lambda _: read())

    async def async_items(
        self, section: Section, timeout_s: float
    ) -> Result[tuple[Item, ...], Failure]:
        """Return the items of a section; see ``ConfigurationService``."""
        confirmed = await self.log.async_read_barrier(timeout_s)
        return confirmed.map(lambda _: self.state.store.present_items(section))

    async def async_audit(
        self, key: ItemKey | None, limit: int, timeout_s: float
    ) -> Result[tuple[AuditRecord, ...], Failure]:
        """Return the newest accepted changes; see ``ConfigurationService``."""
        confirmed = await self.log.async_read_barrier(timeout_s)
        return confirmed.map(lambda _: self.state.newest_audit(key, limit))


def _bad_outcome(other: Any) -> Result[ChangeOutcome, Failure]:
    detail = f"{other!r:.120}"
    return Error(Failure(code=codes.BAD_OUTCOME, detail=detail, ran=Ran.UNKNOWN))

"""Configuration kept in memory, in place of the replicated one."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from expression import Error, Ok

from mothshunt.configuration.messages import ChangeOutcome, ChangeStatus
from mothshunt.configuration.model import Configuration
from mothshunt.configuration.service import AuditRecord, InstanceStatus, Item
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import Ran

NO_MAJORITY = ResultCode(
    number=4999, name="no_majority", http_status=503, summary="No majority.", action=""
)


@dataclass
class FakeConfiguration:
    """Accept changes as the replicated configuration does, in one process.

    ``failing`` makes every call fail as it does without a majority; ``losing``
    accepts changes and says that their outcome is unknown.
    """

    revision: int = 0
    item_by_key: dict = field(default_factory=dict)
    outcome_by_change: dict = field(default_factory=dict)
    records: list = field(default_factory=list)
    submissions: list = field(default_factory=list)
    failing: bool = False
    losing: bool = False

    async def async_submit(self, change, timeout_s):
        self.submissions.append(change)
        if self.failing:
            return Error(Failure(code=NO_MAJORITY, retry_after_s=1.0))
        outcome = self._outcome(change)
        if self.losing:
            return Error(Failure(code=NO_MAJORITY, ran=Ran.UNKNOWN))
        return Ok(outcome)

    async def async_find(self, change_id, timeout_s):
        if self.failing:
            return Error(Failure(code=NO_MAJORITY))
        return Ok(self.outcome_by_change.get(change_id))

    async def async_items(self, section, timeout_s):
        if self.failing:
            return Error(Failure(code=NO_MAJORITY))
        items = self.item_by_key.values()
        return Ok(
            tuple(i for i in items if i.key.section is section and i.value is not None)
        )

    async def async_audit(self, key, limit, timeout_s):
        if self.failing:
            return Error(Failure(code=NO_MAJORITY))
        newest = reversed(self.records)
        return Ok(tuple(r for r in newest if key in (None, r.key))[:limit])

    def _outcome(self, change):
        first = self.outcome_by_change.get(change.change_id)
        if first is not None:
            return ChangeOutcome(
                status=first.status,
                revision=first.revision,
                change_id=first.change_id,
                operator=first.operator,
                repeated=True,
            )
        present = self.item_by_key.get(change.key)
        exists = present is not None and present.value is not None
        if change.base_revision != (present.revision if exists else 0):
            winner = next(r for r in reversed(self.records) if r.key == change.key)
            return ChangeOutcome(
                status=ChangeStatus.CONFLICT,
                revision=winner.revision,
                change_id=winner.change_id,
                operator=winner.operator,
            )
        return self._accepted(change)

    def _accepted(self, change):
        self.revision += 1
        self.item_by_key[change.key] = Item(
            key=change.key, revision=self.revision, value=change.value
        )
        self.records.append(
            AuditRecord(
                revision=self.revision,
                change_id=change.change_id,
                operator=change.operator,
                key=change.key,
                summary=change.summary,
                made_at_unix_ms=change.made_at_unix_ms,
                value=change.value,
            )
        )
        outcome = ChangeOutcome(
            status=ChangeStatus.ACCEPTED,
            revision=self.revision,
            change_id=change.change_id,
            operator=change.operator,
        )
        self.outcome_by_change[change.change_id] = outcome
        return outcome


@dataclass
class FakeStatus:
    """Tell of instances whose revision follows the configuration, but for some."""

    configuration: FakeConfiguration
    ids: Sequence[str] = ("a1", "b1", "c1")
    revision_by_id: dict = field(default_factory=dict)
    lost: set = field(default_factory=set)
    in_flight: int = 0

    async def async_instances(self, timeout_s):
        return Ok(tuple(map(self._status, self.ids)))

    def _status(self, name):
        return InstanceStatus(
            id=name,
            region="north",
            availability_zone=f"north-{name[0]}",
            roles=("entry", "control"),
            state="lost" if name in self.lost else "ready",
            revision=self.revision_by_id.get(name, self.configuration.revision),
            age_s=0.1,
            in_flight=self.in_flight,
        )


@dataclass
class FakeSource:
    """Give a configuration that holds the instances of the deployment."""

    configuration: FakeConfiguration
    instance_by_id: dict = field(default_factory=dict)
    contract_by_customer: dict = field(default_factory=dict)

    def current(self):
        return Configuration(
            revision=self.configuration.revision,
            instance_by_id=self.instance_by_id,
            contract_by_customer=self.contract_by_customer,
        )

"""Sample records of the size that is common today."""

from mothshunt.configuration.model import ItemKey, Section
from mothshunt.configuration.service import Item
from mothshunt.core.types import InstanceId, InstanceState, Role
from mothshunt.discovery.messages import Announcement, RowState, TargetRow
from mothshunt.ledger.messages import Claim, Record
from mothshunt.ledger.model import LedgerKey, StoredResponse
from mothshunt.membership.messages import Row
from mothshunt.membership.model import InstanceRecord
from mothshunt.util import schema
from testkit.contracts import contract_path

ANSWER_BODY = b"x" * 200


def instance_id(number: int) -> InstanceId:
    """Return the name of an instance."""
    return InstanceId(f"region-{number % 4}-instance-{number}")


def instance_record(number: int) -> InstanceRecord:
    """Return the record of an instance."""
    return InstanceRecord(
        id=instance_id(number),
        region=f"region-{number % 4}",
        availability_zone=f"region-{number % 4}-a",
        roles=(Role.ENTRY,),
        traffic_host="127.0.0.1",
        traffic_port=8001,
        admin_host="127.0.0.1",
        admin_port=8002,
        peer_host="127.0.0.1",
        peer_port=8003,
        seat=number // 4,
    )


def instance_item(number: int, revision: int | None = None) -> Item:
    """Return the configuration item of an instance."""
    return Item(
        key=ItemKey(section=Section.INSTANCE, name=instance_id(number)),
        revision=number + 1 if revision is None else revision,
        value=schema.to_json(instance_record(number)),
    )


def contract_item(number: int) -> Item:
    """Return the configuration item of a contract."""
    text = contract_path("rackhaven").read_bytes()
    name = f"customer-{number}"
    return Item(
        key=ItemKey(section=Section.CONTRACT, name=name),
        revision=number + 1,
        value=text.replace(b"rackhaven", name.encode()),
    )


def target_row(number: int) -> TargetRow:
    """Return the row of a target."""
    return TargetRow(
        owner=instance_id(number % 9),
        state=RowState.SERVING,
        announcement=Announcement(
            target=f"cabinet-status-region-{number % 4}-{number}",
            incarnation=1,
            customer="rackhaven",
            service="cabinet-status",
            host="127.0.0.1",
            port=9000,
            region=f"region-{number % 4}",
            availability_zone=f"region-{number % 4}-a",
            slots=4,
        ),
    )


def presence_row(number: int) -> Row:
    """Return the presence row of an instance."""
    return Row(
        instance=instance_id(number),
        incarnation=number + 1,
        attach=1,
        change=0,
        state=InstanceState.READY,
        load=4,
    )


def ledger_key(number: int) -> LedgerKey:
    """Return an idempotency key."""
    return LedgerKey(
        customer="rackhaven", service="circuit-ordering", key=f"order-{number:032x}"
    )


def claim(number: int) -> Claim:
    """Return the claim of a key."""
    return Claim(
        key=ledger_key(number),
        fingerprint=bytes(16),
        attempt=number.to_bytes(16, "big"),
        runs_ms=10_000,
    )


def record(number: int) -> Record:
    """Return the record of the first answer to a key."""
    return Record(
        key=ledger_key(number),
        attempt=number.to_bytes(16, "big"),
        answer=StoredResponse(status=201, headers=(), body=ANSWER_BODY),
    )

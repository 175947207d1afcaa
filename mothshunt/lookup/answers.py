"""Bodies of look-up answers, kept ready for each group of clients."""

import json

from mothshunt.contract.model import Contract
from mothshunt.core.types import CustomerId, InstanceId
from mothshunt.lookup.const import (
    ATTR_AVAILABILITY_ZONE,
    ATTR_ENTRIES,
    ATTR_HOST,
    ATTR_INSTANCE,
    ATTR_LIFETIME_MS,
    ATTR_PORT,
    ATTR_REGION,
)
from mothshunt.lookup.state import EntryTable
from mothshunt.membership.model import InstanceRecord

MILLISECONDS_PER_SECOND = 1000


class AnswerBodies:
    """Build each body once from a part of the group and a part of the contract.

    :param table: Entry instances; its groups bound what is kept.
    """

    def __init__(self, table: EntryTable) -> None:
        self._table = table
        self._entries_by_group: dict[int, bytes] = {}
        self._entry_by_instance: dict[InstanceId, bytes] = {}
        self._rest_by_customer: dict[CustomerId, tuple[Contract, bytes]] = {}

    def clear(self) -> None:
        """Forget the parts that name entry instances."""
        self._entries_by_group.clear()
        self._entry_by_instance.clear()

    def body(self, contract: Contract, group: int) -> bytes | None:
        """Return the body of an answer; ``None`` when no entry can be named.

        :param contract: Contract of the customer.
        :param group: Group of the client.
        """
        entries = self._entries_by_group.get(group)
        if entries is None:
            order = self._table.order(group)
            if not order:
                return None
            parts = b",".join(self._entry(record) for record in order)
            entries = b'{"%b":[%b],' % (ATTR_ENTRIES.encode(), parts)
            self._entries_by_group[group] = entries
        known = self._rest_by_customer.get(contract.customer)
        if known is None or known[0] is not contract:
            known = (contract, _rest(contract))
            self._rest_by_customer[contract.customer] = known
        return entries + known[1]

    def _entry(self, record: InstanceRecord) -> bytes:
        entry = self._entry_by_instance.get(record.id)
        if entry is None:
            entry = self._entry_by_instance[record.id] = _entry_json(record)
        return entry


def _rest(contract: Contract) -> bytes:
    lifetime_ms = int(contract.lookup_lifetime_s * MILLISECONDS_PER_SECOND)
    return f'"{ATTR_LIFETIME_MS}":{lifetime_ms}}}'.encode()


def _entry_json(record: InstanceRecord) -> bytes:
    document = {
        ATTR_INSTANCE: record.id,
        ATTR_HOST: record.traffic_host,
        ATTR_PORT: record.traffic_port,
        ATTR_REGION: record.region,
        ATTR_AVAILABILITY_ZONE: record.availability_zone,
    }
    return json.dumps(document, separators=(",", ":")).encode()

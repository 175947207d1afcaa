"""Cache of the bodies of look-up answers for each group of clients."""

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


class AnswerCache:
    """Cache of answer bodies, each joined from two cached parts.

    The first part lists the entry instances for a group of clients. The second part has
    what the customer's contract sets.

    :param table: Entry instances by group; the number of groups bounds the cache.
    """

    def __init__(self, table: EntryTable) -> None:
        self._table = table
        self._entries_part_by_group: dict[int, bytes] = {}
        self._entry_json_by_instance: dict[InstanceId, bytes] = {}
        self._contract_part_by_customer: dict[CustomerId, tuple[Contract, bytes]] = {}

    def clear(self) -> None:
        """Drop the cached parts that list entry instances."""
        self._entries_part_by_group.clear()
        self._entry_json_by_instance.clear()

    def body(self, contract: Contract, group: int) -> bytes | None:
        """Return the body of an answer, or ``None`` if no entry can be listed.

        :param contract: Contract of the customer.
        :param group: Group of the client.
        """
        entries_part = self._entries_part_by_group.get(group)
        if entries_part is None:
            records = self._table.entries_for(group)
            if not records:
                return None
            entries = b",".join(self._entry(record) for record in records)
            entries_part = b'{"%b":[%b],' % (ATTR_ENTRIES.encode(), entries)
            self._entries_part_by_group[group] = entries_part
        cached = self._contract_part_by_customer.get(contract.customer)
        if cached is None or cached[0] is not contract:
            cached = (contract, _contract_part(contract))
            self._contract_part_by_customer[contract.customer] = cached
        return entries_part + cached[1]

    def _entry(self, record: InstanceRecord) -> bytes:
        entry = self._entry_json_by_instance.get(record.id)
        if entry is None:
            entry = self._entry_json_by_instance[record.id] = _entry_json(record)
        return entry


def _contract_part(contract: Contract) -> bytes:
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

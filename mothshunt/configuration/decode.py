"""Decoding of configuration items to what the slices use."""

from dataclasses import dataclass, field
from typing import Any

from expression import Result

from mothshunt.configuration.model import ItemKey, Section
from mothshunt.configuration.service import Item
from mothshunt.configuration.store import ItemStore
from mothshunt.contract.model import Contract
from mothshunt.core.types import Revision
from mothshunt.drain.model import Drain
from mothshunt.helpers.log import get_logger
from mothshunt.membership.model import InstanceRecord
from mothshunt.routing.model import (
    Evacuation,
    LimitsItem,
    RetiredTarget,
    RouteItem,
    ServiceItem,
)
from mothshunt.util import schema

_LOGGER = get_logger("configuration")

_CLASS_BY_SECTION: dict[Section, type[Any]] = {
    Section.CONTRACT: Contract,
    Section.DRAIN: Drain,
    Section.INSTANCE: InstanceRecord,
    Section.ROUTE: RouteItem,
    Section.SERVICE: ServiceItem,
    Section.REQUEST_LIMITS: LimitsItem,
    Section.EVACUATION: Evacuation,
    Section.RETIRED_TARGET: RetiredTarget,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedItem:
    """Hold an item's decoded value.

    :param revision: Revision of the item that was decoded.
    :param value: What it was decoded to.
    """

    revision: Revision
    value: Any


@dataclass(slots=True)
class ItemDecoder:
    """Decode the items of a store, each once for each of its revisions."""

    _decoded_by_key: dict[ItemKey, DecodedItem] = field(default_factory=dict)

    def values(self, store: ItemStore, section: Section) -> dict[Any, Any]:
        """Return the values of a section by name.

        :param store: The items.
        :param section: The section.
        """
        decoded = {i.key.name: self._value(i) for i in store.present(section)}
        return {name: value for name, value in decoded.items() if value is not None}

    def _value(self, item: Item) -> Any:
        known = self._decoded_by_key.get(item.key)
        if known is not None and known.revision == item.revision:
            return known.value
        value = _decode(item)
        self._decoded_by_key[item.key] = DecodedItem(
            revision=item.revision, value=value
        )
        return value


def _decode(item: Item) -> Any:
    cls = _CLASS_BY_SECTION[item.key.section]
    match schema.from_json(cls, item.value or b""):
        case Result(tag="ok", ok=value):
            return value
        case Result(error=faults):
            # Accepted items were checked; this one is of another release.
            _LOGGER.error("an item is ignored", item=item.key.name, fault=str(faults))
            return None

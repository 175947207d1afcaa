"""Decoding of configuration items from JSON to model objects."""

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
    WorkspaceItem,
)
from mothshunt.util import schema

_LOGGER = get_logger("configuration")

_CLASS_BY_SECTION: dict[Section, type[Any]] = {
    Section.CONTRACT: Contract,
    Section.DRAIN: Drain,
    Section.INSTANCE: InstanceRecord,
    Section.ROUTE: RouteItem,
    Section.SERVICE: ServiceItem,
    Section.WORKSPACE: WorkspaceItem,
    Section.REQUEST_LIMITS: LimitsItem,
    Section.EVACUATION: Evacuation,
    Section.RETIRED_TARGET: RetiredTarget,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class DecodedItem:
    """Cached result of decoding an item.

    :param revision: Revision of the item that was decoded.
    :param value: Decoded object; ``None`` if the item could not be decoded.
    """

    revision: Revision
    value: Any


@dataclass(slots=True)
class ItemDecoder:
    """Decoder of items that caches the result for the newest revision of each."""

    _decoded_by_key: dict[ItemKey, DecodedItem] = field(default_factory=dict)

    def values(self, store: ItemStore, section: Section) -> dict[Any, Any]:
        """Return the decoded items of a section by name.

        Items that can't be decoded are left out.

        :param store: Store with the items.
        :param section: Section whose items are decoded.
        """
        decoded = {
            i.key.name: self._cached_value(i) for i in store.present_items(section)
        }
        return {name: value for name, value in decoded.items() if value is not None}

    def _cached_value(self, item: Item) -> Any:
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
            # Items are validated before they are accepted: one that is invalid here was
            # accepted by another release.
            _LOGGER.error(
                "configuration item could not be decoded; ignored",
                item=item.key.name,
                fault=str(faults),
            )
            return None

"""Store of configuration items, with a digest to compare copies."""

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from mothshunt.configuration.model import NO_REVISION, ItemKey, Section
from mothshunt.configuration.service import Item
from mothshunt.core.types import Revision


@dataclass(slots=True)
class ItemStore:
    """Store of items, removed ones included, with a digest of all of them.

    :param revision: Revision of the last change that is included.
    :param item_by_key: Items by key.
    :param digest: Exclusive or of the hashes of all items.
    """

    revision: Revision = NO_REVISION
    item_by_key: dict[ItemKey, Item] = field(default_factory=dict)
    digest: int = 0

    def put(self, item: Item) -> None:
        """Store an item, unless the stored one has the same or a newer revision.

        :param item: New state of the item.
        """
        held = self.item_by_key.get(item.key)
        if held is not None:
            if held.revision >= item.revision:
                return
            self.digest ^= _hash(held)
        self.item_by_key[item.key] = item
        self.digest ^= _hash(item)
        self.revision = max(self.revision, item.revision)

    def replace(self, revision: Revision, items: Iterable[Item]) -> None:
        """Replace all items.

        :param revision: Revision of the store afterwards.
        :param items: All items, removed ones included.
        """
        self.item_by_key = {}
        self.digest = 0
        for item in items:
            self.put(item)
        self.revision = revision

    def purge(self, key: ItemKey) -> None:
        """Delete an item and leave no removed item behind.

        No delta of changes shows this; a copy deletes the item when the difference in
        digests makes it request all items.

        :param key: Key of the item.
        """
        item = self.item_by_key.pop(key, None)
        if item is not None:
            self.digest ^= _hash(item)

    def changed_since(self, revision: Revision) -> tuple[Item, ...]:
        """Return the items that changed after a revision, oldest change first.

        :param revision: Revision after which an item must have changed.
        """
        changed = [i for i in self.item_by_key.values() if i.revision > revision]
        return tuple(sorted(changed, key=lambda item: item.revision))

    def present_items(self, section: Section) -> tuple[Item, ...]:
        """Return the items of a section that are not removed, sorted by name.

        :param section: Section whose items are returned.
        """
        items = [
            item
            for item in self.item_by_key.values()
            if item.key.section is section and item.value is not None
        ]
        return tuple(sorted(items, key=lambda item: item.key.name))

    def revision_of(self, key: ItemKey) -> Revision:
        """Return the revision of an item; ``NO_REVISION`` if the store has none.

        :param key: Key of the item.
        """
        item = self.item_by_key.get(key)
        return NO_REVISION if item is None else item.revision


def _hash(item: Item) -> int:
    name = f"{item.key.section.value}/{item.key.name}@{item.revision}/"
    state = xxhash.xxh64(name.encode())
    state.update(b"-" if item.value is None else item.value)
    return state.intdigest()

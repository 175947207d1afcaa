"""Copy of the configuration at an instance that is not a control instance."""

from dataclasses import dataclass, field
from enum import Enum

from mothshunt.configuration.delivery import Beat, Delta
from mothshunt.configuration.store import ItemStore


class MirrorNeed(Enum):
    """Data that a copy must request from a control instance."""

    NOTHING = "nothing"
    CHANGES = "changes"
    ALL_ITEMS = "whole"


@dataclass(slots=True)
class ConfigurationMirror:
    """Copy of the configuration items that is updated by deltas, never backwards.

    :param store: Items of the copy.
    """

    store: ItemStore = field(default_factory=ItemStore)

    def apply(self, delta: Delta) -> MirrorNeed:
        """Apply a delta, unless it is older than the copy or leaves a gap.

        :param delta: Items that changed.
        :return: Data to request so that the copy becomes complete.
        """
        if delta.to_revision < self.store.revision:
            return MirrorNeed.NOTHING
        if delta.is_whole:
            self.store.replace(delta.to_revision, delta.items)
            return MirrorNeed.NOTHING
        if delta.from_revision > self.store.revision:
            return MirrorNeed.CHANGES
        for item in delta.items:
            self.store.put(item)
        self.store.revision = delta.to_revision
        if self.store.digest != delta.digest:
            return MirrorNeed.ALL_ITEMS
        return MirrorNeed.NOTHING

    def check(self, beat: Beat) -> MirrorNeed:
        """Compare the copy with the revision and digest of a control instance.

        :param beat: Revision and digest of the control instance.
        :return: Data to request so that the copy becomes complete.
        """
        if beat.revision > self.store.revision:
            return MirrorNeed.CHANGES
        is_same_revision = beat.revision == self.store.revision
        if is_same_revision and beat.digest != self.store.digest:
            return MirrorNeed.ALL_ITEMS
        return MirrorNeed.NOTHING

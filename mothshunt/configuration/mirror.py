"""Copy of the configuration at an instance that is not a control instance."""

from dataclasses import dataclass, field
from enum import Enum

from mothshunt.configuration.delivery import Beat, Delta
from mothshunt.configuration.store import ItemStore


class MirrorNeed(Enum):
    """What a copy needs from a control instance after a message."""

    NOTHING = "nothing"
    CHANGES = "changes"
    WHOLE = "whole"


@dataclass(slots=True)
class ConfigurationMirror:
    """Apply deltas in order, and never one that is older than what is held.

    :param store: The items held.
    """

    store: ItemStore = field(default_factory=ItemStore)

    def apply(self, delta: Delta) -> MirrorNeed:
        """Apply a delta.

        :param delta: What changed.
        :return: What must be asked for, so that the copy becomes whole.
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
            return MirrorNeed.WHOLE
        return MirrorNeed.NOTHING

    def check(self, beat: Beat) -> MirrorNeed:
        """Compare the copy with what a control instance holds.

        :param beat: Revision and digest of the control instance.
        :return: What must be asked for, so that the copy becomes whole.
        """
        if beat.revision > self.store.revision:
            return MirrorNeed.CHANGES
        is_same_revision = beat.revision == self.store.revision
        if is_same_revision and beat.digest != self.store.digest:
            return MirrorNeed.WHOLE
        return MirrorNeed.NOTHING

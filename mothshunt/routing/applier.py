"""Application of routing commands to the replicated configuration."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from mothshunt.configuration.decode import ItemDecoder
from mothshunt.configuration.model import ItemKey, Section
from mothshunt.configuration.store import ItemStore
from mothshunt.core.types import LogIndex, Revision
from mothshunt.routing import const
from mothshunt.routing.messages import (
    EvacuationOutcome,
    PatchOutcome,
    PatchRouting,
    PatchStatus,
    RetireOutcome,
    RetireTarget,
    SetEvacuation,
)
from mothshunt.routing.model import Evacuation, RetiredState
from mothshunt.routing.state import RoutingItems, merge
from mothshunt.util import schema

COMMANDS: tuple[type[Any], ...] = (PatchRouting, SetEvacuation, RetireTarget)
#: Name of the only item in the section of request limits.
_LIMITS_NAME = "limits"

#: Function that stores an item: its key, its JSON text and a summary for the audit
#: trail.
PutItem = Callable[[ItemKey, bytes, str], None]


def routing_items(store: ItemStore, decoder: ItemDecoder) -> RoutingItems:
    """Return the routing items of a store, dropped ones included.

    :param store: The stored items.
    :param decoder: Decoder with a cache of decoded items.
    """
    limits = decoder.values(store, Section.REQUEST_LIMITS)
    return RoutingItems(
        route_by_name=decoder.values(store, Section.ROUTE),
        service_by_name=decoder.values(store, Section.SERVICE),
        limits=limits.get(_LIMITS_NAME),
        workspace_by_name=decoder.values(store, Section.WORKSPACE),
    )


@dataclass(slots=True)
class RoutingApplier:
    """Application of routing commands; depends on the store and the command only."""

    decoder: ItemDecoder = field(default_factory=ItemDecoder)

    def apply(
        self, store: ItemStore, index: LogIndex, command: Any, put: PutItem
    ) -> Any:
        """Apply one command to the store and return its outcome.

        :param store: The replicated items.
        :param index: Position of the command in the log.
        :param command: Instance of one of ``COMMANDS``.
        :param put: Function that stores a changed item.
        """
        if isinstance(command, PatchRouting):
            return self._patch(store, index, command, put)
        if isinstance(command, SetEvacuation):
            return _set_evacuation(store, index, command, put)
        assert isinstance(command, RetireTarget)
        return self._retire(store, index, command, put)

    def _patch(
        self, store: ItemStore, index: LogIndex, patch: PatchRouting, put: PutItem
    ) -> PatchOutcome:
        result = merge(routing_items(store, self.decoder), patch)
        if result.is_error():
            return PatchOutcome(
                status=PatchStatus.INVALID,
                revision=store.revision,
                code=result.error.code.number,
                detail=result.error.detail,
            )
        merged = result.ok
        for route in merged.routes:
            key = ItemKey(section=Section.ROUTE, name=route.name)
            put(key, schema.to_json(route), f"route at version {route.version}")
        for service in merged.services:
            key = ItemKey(section=Section.SERVICE, name=service.name)
            put(key, schema.to_json(service), f"service at version {service.version}")
        for workspace in merged.workspaces:
            key = ItemKey(section=Section.WORKSPACE, name=workspace.name)
            summary = f"workspace at version {workspace.version}"
            put(key, schema.to_json(workspace), summary)
        if merged.limits is not None:
            key = ItemKey(section=Section.REQUEST_LIMITS, name=_LIMITS_NAME)
            summary = f"limits at version {merged.limits.version}"
            put(key, schema.to_json(merged.limits), summary)
        return PatchOutcome(
            status=PatchStatus.ACCEPTED,
            revision=Revision(index),
            changed=merged.changed,
        )

    def _retire(
        self, store: ItemStore, index: LogIndex, command: RetireTarget, put: PutItem
    ) -> RetireOutcome:
        retired = command.retired
        retired_by_target = self.decoder.values(store, Section.RETIRED_TARGET)
        stored = retired_by_target.get(retired.target)
        is_newer = stored is None or (
            (stored.incarnation, stored.state is RetiredState.LEFT)
            < (retired.incarnation, retired.state is RetiredState.LEFT)
        )
        if not is_newer:
            return RetireOutcome(revision=store.revision)
        key = ItemKey(section=Section.RETIRED_TARGET, name=retired.target)
        put(key, schema.to_json(retired), f"target is {retired.state.value}")
        _remove_oldest_retired(store)
        return RetireOutcome(revision=Revision(index))


def _set_evacuation(
    store: ItemStore, index: LogIndex, command: SetEvacuation, put: PutItem
) -> EvacuationOutcome:
    key = ItemKey(section=Section.EVACUATION, name=command.availability_zone)
    evacuation = Evacuation(
        availability_zone=command.availability_zone, is_evacuated=command.is_evacuated
    )
    value = schema.to_json(evacuation)
    item = store.item_by_key.get(key)
    revision = store.revision_of(key)
    is_in_effect = (item is not None and item.value == value) or (
        item is None and not command.is_evacuated
    )
    if is_in_effect:
        return EvacuationOutcome(is_accepted=True, revision=revision)
    if revision != command.base_revision:
        return EvacuationOutcome(is_accepted=False, revision=revision)
    verb = "evacuated" if command.is_evacuated else "taken back"
    put(key, value, f"availability zone {verb}")
    return EvacuationOutcome(is_accepted=True, revision=Revision(index))


def _remove_oldest_retired(store: ItemStore) -> None:
    """Remove the records of targets that changed longest ago, beyond the maximum."""
    items = store.present_items(Section.RETIRED_TARGET)
    excess = len(items) - const.MAX_RETIRED_TARGETS
    if excess > 0:
        for item in sorted(items, key=lambda item: item.revision)[:excess]:
            store.purge(item.key)

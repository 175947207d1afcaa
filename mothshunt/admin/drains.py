"""Operations on drains."""

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.access.state import require_role
from mothshunt.admin import codes
from mothshunt.admin.changes import ChangeHandlers
from mothshunt.admin.const import ATTR_KIND, ATTR_NAME
from mothshunt.admin.deployment_model import DrainDocument, DrainList
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope, refuse
from mothshunt.admin.model import ChangeDocument
from mothshunt.admin.parameters import ChangeQuery, DrainBody, ReadQuery
from mothshunt.admin.progress import DrainWatch, Surroundings
from mothshunt.configuration.model import (
    NO_REVISION,
    ConfigurationSource,
    ItemKey,
    Section,
)
from mothshunt.configuration.service import (
    ConfigurationService,
    InstanceStatus,
    Item,
    StatusService,
)
from mothshunt.core.clock import Clock
from mothshunt.core.types import CustomerId, Revision
from mothshunt.discovery.model import Target, TargetDirectory
from mothshunt.drain.model import Drain, DrainKind
from mothshunt.helpers.log import get_logger
from mothshunt.util import schema

_LOGGER = get_logger("admin")


class DrainHandlers:
    """Read and change drains.

    :param configuration: Holds the drains.
    :param status: Tells how the instances stand.
    :param source: Names the customers and services whose targets are looked at.
    :param targets: Targets known at this instance, where it knows any.
    :param changes: Commits the changes.
    :param clock: Tells since when a drain has been in force.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        status: StatusService,
        source: ConfigurationSource,
        targets: TargetDirectory | None,
        changes: ChangeHandlers,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._status = status
        self._source = source
        self._targets = targets
        self._changes = changes
        self._clock = clock
        self._watch = DrainWatch()

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
        return (
            Route(
                method="GET",
                path="/v1/drains",
                summary="List the drains and how far they have come.",
                role=AccessRole.READ,
                scope=Scope.ANY,
                handler=self._async_list,
                answer=DrainList,
            ),
            Route(
                method="GET",
                path="/v1/drains/{kind}/{name}",
                summary="Show one drain and how far it has come.",
                role=AccessRole.READ,
                scope=Scope.ANY,
                handler=self._async_get,
                answer=DrainDocument,
            ),
            Route(
                method="PUT",
                path="/v1/drains/{kind}/{name}",
                summary="Drain a target, instance, availability zone or region.",
                role=AccessRole.DRAIN,
                scope=Scope.ANY,
                handler=self._async_put,
                query=ChangeQuery,
                body=DrainBody,
                answer=ChangeDocument,
            ),
            Route(
                method="DELETE",
                path="/v1/drains/{kind}/{name}",
                summary="Remove a drain.",
                role=AccessRole.DRAIN,
                scope=Scope.ANY,
                handler=self._async_delete,
                query=ChangeQuery,
                answer=ChangeDocument,
            ),
        )

    async def _async_list(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        documents = await self._async_documents(call.query.timeout_s)
        return documents.map(lambda drains: Reply(body=DrainList(drains=drains)))

    async def _async_get(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        drain = _drain_of(call, "")
        if drain.is_error():
            return Error(drain.error)
        documents = await self._async_documents(call.query.timeout_s)
        if documents.is_error():
            return Error(documents.error)
        for document in documents.ok:
            if (document.kind, document.name) == (drain.ok.kind.value, drain.ok.name):
                return Ok(Reply(body=document, revision=document.revision))
        return refuse(codes.DRAIN_UNKNOWN, drain_key(drain.ok).name)

    async def _async_put(self, call: Call[ChangeQuery]) -> Result[Reply, Refusal]:
        body = call.document(DrainBody)
        if body.is_error():
            return Error(body.error)
        drain = _drain_of(call, body.ok.reason).bind(lambda d: self._permitted(call, d))
        if drain.is_error():
            return Error(drain.error)
        return await self._changes.async_submit(
            call,
            drain_key(drain.ok),
            schema.to_json(drain.ok),
            summary=drain.ok.reason or "drained",
        )

    async def _async_delete(self, call: Call[ChangeQuery]) -> Result[Reply, Refusal]:
        drain = _drain_of(call, "").bind(lambda d: self._permitted(call, d))
        if drain.is_error():
            return Error(drain.error)
        key = drain_key(drain.ok)
        if call.query.base_revision == NO_REVISION:
            return refuse(codes.DRAIN_UNKNOWN, key.name)
        return await self._changes.async_submit(
            call, key, None, summary="drain removed"
        )

    async def _async_documents(
        self, timeout_s: float
    ) -> Result[tuple[DrainDocument, ...], Refusal]:
        items = await self._configuration.async_items(Section.DRAIN, timeout_s)
        if items.is_error():
            return Error(Refusal(failure=items.error))
        statuses = await self._status.async_instances(timeout_s)
        if statuses.is_error():
            return Error(Refusal(failure=statuses.error))
        drains = [pair for item in items.ok if (pair := _decoded(item)) is not None]
        self._watch.keep_only(drains)
        around = self._surroundings(statuses.ok)
        documents = [self._watch.document(*pair, around) for pair in drains]
        documents.sort(key=lambda document: (document.kind, document.name))
        return Ok(tuple(documents))

    def _surroundings(self, statuses: tuple[InstanceStatus, ...]) -> Surroundings:
        contracts = self._source.current().contract_by_customer.values()
        lifetimes_s = [contract.lookup_lifetime_s for contract in contracts]
        return Surroundings(
            statuses=statuses,
            targets=[target for _, target in self._known_targets()],
            lookup_lifetime_s=max(lifetimes_s, default=0.0),
            now=self._clock.monotonic(),
        )

    def _permitted(self, call: Call[object], drain: Drain) -> Result[Drain, Refusal]:
        customer = None
        if drain.kind is DrainKind.TARGET:
            customer = self._customer_of(drain.name)
        allowed = require_role(call.operator, AccessRole.DRAIN, customer)
        if allowed.is_error():
            return Error(Refusal(failure=allowed.error))
        return Ok(drain)

    def _customer_of(self, target: str) -> CustomerId | None:
        for customer, known in self._known_targets():
            if known.id == target:
                return customer
        return None

    def _known_targets(self) -> list[tuple[CustomerId, Target]]:
        if self._targets is None:
            return []
        contract_by_customer = self._source.current().contract_by_customer
        return [
            (customer, target)
            for customer, contract in contract_by_customer.items()
            for service in contract.services
            for target in self._targets.targets(customer, service.service)
        ]


def drain_key(drain: Drain) -> ItemKey:
    """Return the name of a drain's item.

    :param drain: The drain.
    """
    return ItemKey(section=Section.DRAIN, name=f"{drain.kind.value}:{drain.name}")


def _drain_of(call: Call[object], reason: str) -> Result[Drain, Refusal]:
    kind_text = call.path_values[ATTR_KIND].replace("-", "_")
    try:
        kind = DrainKind(kind_text)
    except ValueError:
        known = ", ".join(kind.value for kind in DrainKind)
        return refuse(codes.PARAMETER_INVALID, f"not one of {known}", f"/{ATTR_KIND}")
    return Ok(Drain(kind=kind, name=call.path_values[ATTR_NAME], reason=reason))


def _decoded(item: Item) -> tuple[Drain, Revision] | None:
    decoded = schema.from_json(Drain, item.value or b"")
    if decoded.is_ok():
        return decoded.ok, item.revision
    _LOGGER.error("A drain can't be decoded", drain=item.key.name)
    return None

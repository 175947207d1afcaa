"""State of the instances of the deployment, and removal of those gone for good."""

from dataclasses import replace

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.admin import codes
from mothshunt.admin.changes import ChangeHandlers, async_find_item
from mothshunt.admin.const import ATTR_INSTANCE, STATE_LOST
from mothshunt.admin.deployment_model import InstanceDocument, InstanceList
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope, refuse
from mothshunt.admin.model import ChangeDocument, ControlAddress
from mothshunt.admin.parameters import ChangeQuery, ReadQuery
from mothshunt.configuration.model import (
    NO_REVISION,
    Configuration,
    ConfigurationSource,
    ItemKey,
    Section,
)
from mothshunt.configuration.service import (
    ConfigurationService,
    InstanceStatus,
    StatusService,
)
from mothshunt.core.types import InstanceId, Revision, Role


class InstanceHandlers:
    """Show how the instances stand.

    :param instance: Name of this instance.
    :param status: Tells how the instances stand.
    :param source: Holds the addresses of the instances.
    :param configuration: Holds the records of the instances.
    :param changes: Has changes committed.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        status: StatusService,
        source: ConfigurationSource,
        configuration: ConfigurationService,
        changes: ChangeHandlers,
    ) -> None:
        self._instance = instance
        self._status = status
        self._source = source
        self._configuration = configuration
        self._changes = changes

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
        return (
            *self.list_routes(),
            Route(
                method="DELETE",
                path="/v1/instances/{instance}",
                summary="Remove an instance that is gone for good; frees its seat.",
                role=AccessRole.ADMINISTER,
                scope=Scope.DEPLOYMENT,
                handler=self._async_remove,
                query=ChangeQuery,
                answer=ChangeDocument,
            ),
        )

    def list_routes(self) -> tuple[Route, ...]:
        """Return the operations that change nothing."""
        return (
            Route(
                method="GET",
                path="/v1/instances",
                summary="Show how the instances stand and which revision they hold.",
                role=AccessRole.READ,
                scope=Scope.ANY,
                handler=self._async_list,
                answer=InstanceList,
            ),
        )

    async def _async_list(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        statuses = await self._status.async_instances(call.query.timeout_s)
        if statuses.is_error():
            return Error(Refusal(failure=statuses.error))
        configuration = self._source.current()
        newest = max(
            (configuration.revision, *(status.revision for status in statuses.ok))
        )
        document = InstanceList(
            answered_by=self._instance,
            newest_revision=newest,
            instances=tuple(
                _document(status, newest, configuration) for status in statuses.ok
            ),
        )
        return Ok(Reply(body=document))

    async def _async_remove(self, call: Call[ChangeQuery]) -> Result[Reply, Refusal]:
        id = InstanceId(call.path_values[ATTR_INSTANCE])
        key = ItemKey(section=Section.INSTANCE, name=id)
        first = await self._changes.async_first_answer(
            call, key, lambda record: record.value is None
        )
        if first.is_error():
            return Error(first.error)
        if first.ok is not None:
            return Ok(first.ok)
        refused = await self._async_refusal(id, call.query.timeout_s)
        if refused is not None:
            return refused
        item = await async_find_item(self._configuration, key, call.query.timeout_s)
        if item.is_error():
            return Error(item.error)
        if item.ok is None:
            return refuse(codes.INSTANCE_UNKNOWN, id)
        if call.query.base_revision == NO_REVISION:
            query = replace(call.query, base_revision=item.ok.revision)
            call = replace(call, query=query)
        return await self._changes.async_submit(
            call, key, None, summary="instance removed"
        )

    async def _async_refusal(
        self, id: InstanceId, timeout_s: float
    ) -> Result[Reply, Refusal] | None:
        """Refuse what is reachable: it may go on using the room of its seat."""
        statuses = await self._status.async_instances(timeout_s)
        if statuses.is_error():
            return Error(Refusal(failure=statuses.error))
        states = [status.state for status in statuses.ok if status.id == id]
        if states and states[0] != STATE_LOST:
            return refuse(codes.INSTANCE_NOT_LOST, f"{id} is {states[0]}")
        return None


def control_addresses(configuration: Configuration) -> tuple[ControlAddress, ...]:
    """Return the administration addresses of the control instances.

    :param configuration: Configuration in force here.
    """
    return tuple(
        ControlAddress(
            instance=record.id,
            url=f"http://{address_text(record.admin_host, record.admin_port)}",
        )
        for _, record in sorted(configuration.instance_by_id.items())
        if Role.CONTROL in record.roles
    )


def address_text(host: str, port: int) -> str:
    """Return ``host:port``, empty where there is no port.

    :param host: IP number.
    :param port: TCP port.
    """
    if not port:
        return ""
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _document(
    status: InstanceStatus, newest: Revision, configuration: Configuration
) -> InstanceDocument:
    record = configuration.instance_by_id.get(status.id)
    traffic = address_text(record.traffic_host, record.traffic_port) if record else ""
    admin = address_text(record.admin_host, record.admin_port) if record else ""
    return InstanceDocument(
        id=status.id,
        region=status.region,
        availability_zone=status.availability_zone,
        roles=status.roles,
        state=status.state,
        revision=status.revision,
        holds_newest=status.revision >= newest,
        age_s=status.age_s,
        in_flight=status.in_flight,
        traffic=traffic,
        admin=admin,
    )

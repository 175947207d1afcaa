"""State of the instances of the deployment."""

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.admin.deployment_model import InstanceDocument, InstanceList
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope
from mothshunt.admin.model import ControlAddress
from mothshunt.admin.parameters import ReadQuery
from mothshunt.configuration.model import Configuration, ConfigurationSource
from mothshunt.configuration.service import InstanceStatus, StatusService
from mothshunt.core.types import InstanceId, Revision, Role


class InstanceHandlers:
    """Show how the instances stand.

    :param instance: Name of this instance.
    :param status: Tells how the instances stand.
    :param source: Holds the addresses of the instances.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        status: StatusService,
        source: ConfigurationSource,
    ) -> None:
        self._instance = instance
        self._status = status
        self._source = source

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
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

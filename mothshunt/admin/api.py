"""All operations of the administration API."""

from mothshunt.admin.changes import ChangeHandlers
from mothshunt.admin.contracts import ContractHandlers
from mothshunt.admin.drains import DrainHandlers
from mothshunt.admin.entries import EntryHandlers
from mothshunt.admin.history import HistoryHandlers
from mothshunt.admin.instances import InstanceHandlers
from mothshunt.admin.messages import Route
from mothshunt.admin.operators import OperatorHandlers
from mothshunt.admin.pages import PageHandlers
from mothshunt.admin.routing import RoutingHandlers
from mothshunt.admin.targets import TargetHandlers
from mothshunt.admin.voters import VoterHandlers
from mothshunt.configuration.model import ConfigurationSource
from mothshunt.configuration.service import ConfigurationService, StatusService
from mothshunt.consensus.model import ReplicatedLog
from mothshunt.core.clock import Clock
from mothshunt.core.types import InstanceId
from mothshunt.discovery.model import TargetDirectory
from mothshunt.routing.coordinator import RoutingCoordinator


def api_routes(
    *,
    instance: InstanceId,
    configuration: ConfigurationService,
    status: StatusService,
    source: ConfigurationSource,
    log: ReplicatedLog,
    targets: TargetDirectory | None,
    clock: Clock,
) -> tuple[Route, ...]:
    """Return all operations.

    :param instance: Name of this instance.
    :param configuration: Changes and confirmed reads.
    :param status: How the instances stand.
    :param source: Configuration in force here.
    :param log: Replicated log.
    :param targets: Targets known here, where there are any.
    :param clock: Source of the present time.
    """
    changes = ChangeHandlers(configuration)
    drains = DrainHandlers(
        configuration=configuration,
        status=status,
        source=source,
        targets=targets,
        changes=changes,
        clock=clock,
    )
    instances = InstanceHandlers(
        instance=instance,
        status=status,
        source=source,
        configuration=configuration,
        changes=changes,
    )
    routes = (
        *ContractHandlers(configuration, source, changes).routes(),
        *HistoryHandlers(configuration, changes).routes(),
        *changes.routes(),
        *drains.routes(),
        *OperatorHandlers(configuration, changes).routes(),
        *instances.routes(),
        *VoterHandlers(log, source).routes(),
    )
    return (*routes, *PageHandlers(routes).routes())


def routed_api_routes(
    *,
    instance: InstanceId,
    configuration: ConfigurationService,
    status: StatusService,
    source: ConfigurationSource,
    log: ReplicatedLog,
    routing: RoutingCoordinator,
    targets: TargetHandlers,
    entries: EntryHandlers,
) -> tuple[Route, ...]:
    """Return all operations of a deployment that routes by hosts and path prefixes.

    :param instance: Name of this instance.
    :param configuration: Changes and confirmed reads.
    :param status: How the instances stand.
    :param source: Configuration in force here.
    :param log: Replicated log.
    :param routing: Changes and confirmed reads of the routing items.
    :param targets: Operations on targets.
    :param entries: Operation that tells callers of entry instances.
    """
    changes = ChangeHandlers(configuration)
    instances = InstanceHandlers(
        instance=instance,
        status=status,
        source=source,
        configuration=configuration,
        changes=changes,
    )
    routes = (
        *RoutingHandlers(routing).routes(),
        *targets.routes(),
        *entries.routes(),
        *changes.routes(),
        *HistoryHandlers(configuration, changes).audit_routes(),
        *OperatorHandlers(configuration, changes).routes(),
        *instances.list_routes(),
        *VoterHandlers(log, source).routes(),
    )
    return (*routes, *PageHandlers(routes).routes())

"""What a control instance of a routed deployment runs."""

from dataclasses import dataclass

from mothshunt.admin.api import routed_api_routes
from mothshunt.admin.coordinator import Operations
from mothshunt.admin.entries import EntryHandlers
from mothshunt.admin.targets import TargetHandlers
from mothshunt.configuration.coordinator import ConfigurationCoordinator
from mothshunt.configuration.holder import ConfigurationHolder
from mothshunt.configuration.model import ConfigurationSource
from mothshunt.configuration.publisher import ConfigurationPublisher
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.consensus.config import ConsensusConfig
from mothshunt.consensus.coordinator import ConsensusCoordinator
from mothshunt.consensus.model import Voter
from mothshunt.core.clock import Clock
from mothshunt.core.composite import CompositeStateMachine
from mothshunt.helpers.peer.network import StreamNetwork
from mothshunt.load_sharing.board_service import LoadBoardService
from mothshunt.locality.coordinator import LocalityHub
from mothshunt.lookup.directory import EntryLookup
from mothshunt.membership.attachments import Attachments
from mothshunt.membership.roster_coordinator import RosterHub
from mothshunt.membership.roster_messages import ControlAddress
from mothshunt.membership.roster_status import RosterStatus
from mothshunt.metrics.registry import Metrics
from mothshunt.quota.share import IssuerShare
from mothshunt.quota.token_service import QuotaTokenService
from mothshunt.rate_limit.state import TokenIssuer
from mothshunt.rate_limit.token_service import TokenService
from mothshunt.receipt.coordinator import CallReceiver
from mothshunt.registry.coordinator import RegistryFollower, RegistryPublisher
from mothshunt.registry.intake import TargetIntake
from mothshunt.registry.witnesses import LeaveReportCoordinator
from mothshunt.routing.coordinator import RoutingCoordinator
from mothshunt.settings.config import ControlPeer, RoutingSettings, Settings


@dataclass(slots=True, eq=False)
class RoutedControl:
    """Hold the parts that a control instance has.

    :param log: The replicated log.
    :param routing: Changes and confirmed reads of the routing items.
    :param publisher: Delivery of the configuration.
    :param roster: Entry instances that are attached.
    :param directory: Finds entry instances for callers.
    :param registry: Targets that renew themselves here.
    :param intake: Takes what targets say of themselves.
    :param witnessing: Takes what targets say to entry instances of leaving.
    :param tokens: Issues tokens for targets that name a rate limit.
    :param locality: Regions in which objects are requested.
    :param quota_tokens: Issues tokens for workspaces that have a quota.
    :param load_board: Forwards the loads of targets that entry instances learned.
    :param attachments: Streams to the control instances.
    :param network: Streams of this instance.
    :param receiver: Receives calls of operators and targets.
    """

    log: ConsensusCoordinator
    routing: RoutingCoordinator
    publisher: ConfigurationPublisher
    roster: RosterHub
    directory: EntryLookup
    registry: RegistryPublisher
    intake: TargetIntake
    witnessing: LeaveReportCoordinator
    tokens: TokenService
    locality: LocalityHub
    quota_tokens: QuotaTokenService
    load_board: LoadBoardService
    attachments: Attachments
    network: StreamNetwork
    receiver: CallReceiver
    _state: ReplicatedConfiguration

    @classmethod
    def from_parts(
        cls,
        *,
        settings: Settings,
        routing: RoutingSettings,
        network: StreamNetwork,
        attachments: Attachments,
        holder: ConfigurationHolder,
        registry: RegistryFollower,
        clock: Clock,
        metrics: Metrics,
    ) -> "RoutedControl":
        """Build the parts of a control instance.

        :param settings: Settings of the instance.
        :param routing: Their part about routing.
        :param network: Streams to other instances.
        :param attachments: Streams to the control instances.
        :param holder: Configuration in force.
        :param registry: Targets that are known.
        :param clock: Source of the present time.
        :param metrics: Metrics of the process.
        """
        state = ReplicatedConfiguration()
        log = ConsensusCoordinator.from_config(
            settings=settings,
            network=network,
            state_machine=CompositeStateMachine([state]),
            clock=clock,
            metrics=metrics,
            config=ConsensusConfig(
                max_voters=routing.voters,
                is_founded_by_majority=True,
                is_self_managed=True,
            ),
            may_found=routing.may_found,
        )

        def control() -> tuple[ControlAddress, ...]:
            status = log.status()
            return tuple(
                ControlAddress(id=voter.id, host=voter.host, port=voter.port)
                for voter in (*status.voters, *status.learners)
            )

        roster = RosterHub(network, clock, control, attachments.location)
        publisher = RegistryPublisher(
            network=network,
            clock=clock,
            follower=registry,
            entries=roster.attached,
            primary_entries=roster.primary_entries,
            control_peers=attachments.peers,
        )
        roster.on_attached(publisher.send_pulse)
        tokens = TokenService(
            network=network,
            control_count=lambda: len(control()),
            entries=roster.primary_entries,
            known=registry.registry.incarnation,
            clock=clock,
            metrics=metrics,
            issuer=TokenIssuer(routing.rate_limit_min_per_s),
        )
        roster.on_attached(tokens.send_limits)
        locality = LocalityHub(
            network=network,
            region_by_entry=roster.region_by_entry,
            primary_entries=roster.primary_entries,
            clock=clock,
        )
        attachments.on_attach(publisher.send_pulse)
        coordinator = RoutingCoordinator(state, log)
        configuration_publisher = ConfigurationPublisher(
            state, log, holder, network, clock
        )
        quota_tokens = QuotaTokenService(
            network=network,
            members=lambda: [member.id for member in control()],
            confirmed_at=lambda: configuration_publisher.confirmed_at,
            log_length=lambda: log.status().last_index,
            clock=clock,
            metrics=metrics,
            share=IssuerShare(settings.instance.id),
        )
        holder.on_change(quota_tokens.on_configuration)
        return cls(
            log=log,
            routing=coordinator,
            publisher=configuration_publisher,
            roster=roster,
            directory=EntryLookup(roster.table, routing.lookup_lifetime_s, metrics),
            registry=publisher,
            intake=TargetIntake(publisher, coordinator),
            witnessing=LeaveReportCoordinator(network, clock, coordinator),
            tokens=tokens,
            locality=locality,
            quota_tokens=quota_tokens,
            load_board=LoadBoardService(network, roster.primary_entries, clock),
            attachments=attachments,
            network=network,
            receiver=CallReceiver(clock, lambda: state.store.revision),
            _state=state,
        )

    def operations(
        self,
        settings: Settings,
        routing: RoutingSettings,
        source: ConfigurationSource,
        clock: Clock,
    ) -> Operations:
        """Return what operators, targets and callers may ask for.

        :param settings: Settings of the instance.
        :param routing: Their part about routing.
        :param source: Configuration in force here.
        :param clock: Source of the present time.
        """
        configuration = ConfigurationCoordinator(self._state, self.log)
        status = RosterStatus(
            own=settings.instance,
            table=self.roster.table,
            control=lambda: frozenset(c.id for c in self.roster.control()),
            revision=lambda: source.current().revision,
            clock=clock,
        )
        targets = TargetHandlers(
            intake=self.intake,
            rate_limits=self.tokens.limits(),
            settings=routing,
            clock=clock,
        )
        routes = routed_api_routes(
            instance=settings.instance.id,
            configuration=configuration,
            status=status,
            source=source,
            log=self.log,
            routing=self.routing,
            targets=targets,
            entries=EntryHandlers(self.directory, clock),
        )
        return Operations(
            configuration=configuration, routes=routes, receiver=self.receiver
        )

    async def async_start(self) -> None:
        """Start the parts; the network is started after them."""
        await self.receiver.async_start()
        self.network.on_disconnect(self.publisher.remove_subscriber)
        await self.publisher.async_start()
        await self.roster.async_start()
        await self.registry.async_start()
        await self.witnessing.async_start()
        await self.tokens.async_start()
        await self.locality.async_start()
        await self.quota_tokens.async_start()
        await self.load_board.async_start()
        self.log.on_voters_changed(self._follow_voters)

    async def async_open_log(self) -> None:
        """Read the log from the disk and take part in the elections."""
        await self.log.async_start()
        self.quota_tokens.on_log_opened()

    async def async_stop(self) -> None:
        """Stop the parts; a leader hands its leadership on."""
        await self.locality.async_stop()
        await self.quota_tokens.async_stop()
        await self.load_board.async_stop()
        await self.tokens.async_stop()
        await self.witnessing.async_stop()
        await self.log.async_stop()
        await self.registry.async_stop()
        await self.roster.async_stop()
        await self.publisher.async_stop()
        await self.receiver.async_stop()

    def _follow_voters(self, voters: tuple[Voter, ...]) -> None:
        self.attachments.update_peers(
            ControlPeer(id=voter.id, host=voter.host, port=voter.port)
            for voter in voters
        )

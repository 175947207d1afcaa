"""What an instance with the role ``control`` runs."""

from dataclasses import dataclass

from mothshunt.configuration.coordinator import ConfigurationCoordinator
from mothshunt.configuration.publisher import ConfigurationPublisher
from mothshunt.configuration.state import ReplicatedConfiguration
from mothshunt.consensus.coordinator import ConsensusCoordinator
from mothshunt.core.composite import CompositeStateMachine
from mothshunt.core.types import InstanceId, Role
from mothshunt.daemon.base import Base
from mothshunt.ledger.applier import LedgerApplier
from mothshunt.ledger.coordinator import LedgerCoordinator
from mothshunt.limits.coordinator import LeaseGrantorCoordinator
from mothshunt.membership.hub import PresenceHub
from mothshunt.membership.state import PresenceTable
from mothshunt.receipt.coordinator import CallReceiver


@dataclass(slots=True, eq=False)
class Control:
    """Hold the parts that a control instance has.

    :param base: Parts that every instance has.
    :param log: The replicated log.
    :param configuration: Changes and confirmed reads of the configuration.
    :param publisher: Delivery of the configuration.
    :param presence: Presence of all instances.
    :param ledger: Idempotency keys.
    :param grantor: Shares of limits.
    :param receiver: Receives calls of operators.
    """

    base: Base
    log: ConsensusCoordinator
    configuration: ConfigurationCoordinator
    publisher: ConfigurationPublisher
    presence: PresenceHub
    ledger: LedgerCoordinator
    grantor: LeaseGrantorCoordinator
    receiver: CallReceiver

    @classmethod
    def from_base(cls, base: Base) -> "Control":
        """Build the parts of a control instance.

        :param base: Parts that every instance has.
        """
        clock, network = base.clock, base.network
        state = ReplicatedConfiguration()
        keys = LedgerApplier()
        log = ConsensusCoordinator.from_config(
            settings=base.settings,
            network=network,
            state_machine=CompositeStateMachine([state, keys]),
            clock=clock,
            metrics=base.metrics,
        )
        configuration = ConfigurationCoordinator(state, log)
        publisher = ConfigurationPublisher(state, log, base.holder, network, clock)
        table = PresenceTable(own_id=base.settings.instance.id)
        presence = PresenceHub(network, configuration, base.holder, clock, table)
        ledger = LedgerCoordinator(
            network=network, log=log, applier=keys, metrics=base.metrics, clock=clock
        )
        grantor = LeaseGrantorCoordinator(
            instance=base.settings.instance.id,
            network=network,
            log=log,
            configuration=base.holder,
            clock=clock,
            metrics=base.metrics,
        )
        return cls(
            base=base,
            log=log,
            configuration=configuration,
            publisher=publisher,
            presence=presence,
            ledger=ledger,
            grantor=grantor,
            receiver=CallReceiver(clock, lambda: state.store.revision),
        )

    async def async_start(self) -> None:
        """Start the parts; the network is started after them."""
        await self.receiver.async_start()
        self.base.network.on_disconnect(self.publisher.remove_subscriber)
        await self.publisher.async_start()
        await self.presence.async_start()
        await self.ledger.async_start()
        await self.grantor.async_start()

    async def async_open_log(self) -> None:
        """Read the log from the disk and take part in the elections."""
        await self.log.async_start()

    async def async_stop(self) -> None:
        """Stop the parts; a leader hands its leadership on."""
        await self.grantor.async_stop()
        await self.ledger.async_stop()
        await self.log.async_stop()
        await self.publisher.async_stop()
        await self.presence.async_stop()
        await self.receiver.async_stop()

    def control_peers(self) -> list[InstanceId]:
        """Return the other control instances."""
        records = self.base.holder.current().instance_by_id.values()
        own = self.base.settings.instance.id
        return [r.id for r in records if Role.CONTROL in r.roles and r.id != own]

"""Build of the decoded configuration from the items of a store."""

from dataclasses import dataclass, field

from mothshunt.configuration.decode import ItemDecoder
from mothshunt.configuration.model import Configuration, Section
from mothshunt.configuration.store import ItemStore
from mothshunt.core.types import CustomerId, InstanceId
from mothshunt.drain.model import DrainSet
from mothshunt.routing.applier import routing_items
from mothshunt.routing.table import build_table


@dataclass(slots=True)
class ConfigurationAssembler:
    """Builder of the decoded configuration.

    :param decoder: Decodes items and caches the results.
    """

    decoder: ItemDecoder = field(default_factory=ItemDecoder)

    def assemble(self, store: ItemStore) -> Configuration:
        """Return the decoded configuration of a store.

        :param store: The items.
        """
        contracts = self.decoder.values(store, Section.CONTRACT)
        drains = self.decoder.values(store, Section.DRAIN)
        instances = self.decoder.values(store, Section.INSTANCE)
        items = routing_items(store, self.decoder)
        return Configuration(
            revision=store.revision,
            contract_by_customer={CustomerId(k): v for k, v in contracts.items()},
            drain_by_name=drains,
            instance_by_id={InstanceId(k): v for k, v in instances.items()},
            drains=DrainSet.from_drains(list(drains.values())),
            routing=build_table(items, store, self.decoder),
        )

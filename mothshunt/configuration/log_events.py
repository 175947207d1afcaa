"""Log lines of the configuration slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.core.types import (
    AvailabilityZoneId,
    Revision,
)
from mothshunt.helpers.log import log_event


@log_event("configuration in force", slice_name="configuration")
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationInForce:
    """Change of the configuration that the instance routes by.

    :param revision: Revision of the new configuration.
    :param routes: Number of routes.
    :param evacuated_zones: Evacuated availability zones; their targets get no requests.
    """

    revision: Revision
    routes: int
    evacuated_zones: tuple[AvailabilityZoneId, ...]

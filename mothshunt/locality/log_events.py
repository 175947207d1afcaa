"""Log lines of the locality slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.core.types import ServiceName
from mothshunt.helpers.log import log_event


@log_event("object locality", slice_name="locality")
@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectLocalityChanged:
    """Change of where the objects of a service have their targets.

    :param service: The service.
    :param is_regional: Whether each object is requested in one region only, so that it
        has its target there.
    """

    service: ServiceName
    is_regional: bool

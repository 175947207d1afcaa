"""Messages on the locality of objects."""

from dataclasses import dataclass
from typing import Annotated, NamedTuple

from pydantic import Field

from mothshunt.core.types import ServiceName
from mothshunt.locality.const import MAX_REPORTED_OBJECTS
from mothshunt.util.wire import message

#: The lower 32 bits of an object's hash: enough to tell some thousand objects apart.
ObjectHash = Annotated[int, Field(ge=0, lt=2**32)]


class ObjectRow(NamedTuple):
    """Objects of one service.

    :param service: The service.
    :param objects: Hashes of the objects.
    """

    service: ServiceName
    objects: Annotated[
        tuple[ObjectHash, ...], Field(max_length=2 * MAX_REPORTED_OBJECTS)
    ]


class LocalityRow(NamedTuple):
    """Locality of the observed objects of one service.

    :param service: The service.
    :param regional: Objects that were requested in one region only.
    :param shared: Objects that were requested in several regions.
    """

    service: ServiceName
    regional: Annotated[int, Field(ge=0)]
    shared: Annotated[int, Field(ge=0)]


@message("locality.objects_requested")
@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectsRequested:
    """Observed objects that were requested at an entry instance since its last report.

    :param rows: Objects by service.
    """

    rows: tuple[ObjectRow, ...]


@message("locality.summary")
@dataclass(frozen=True, kw_only=True, slots=True)
class LocalitySummary:
    """Locality of the objects that a control instance was told of.

    :param rows: Locality by service.
    """

    rows: tuple[LocalityRow, ...]

"""Settings of stand-in targets."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from expression import Result
from pydantic import ConfigDict, Field

from mothshunt.util import schema
from mothshunt.util.schema import Fault

_STRICT = ConfigDict(extra="forbid")


@dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """Name a TCP address.

    :param host: IP number.
    :param port: TCP port.
    """

    __pydantic_config__ = _STRICT

    host: str
    port: int

    @property
    def url(self) -> str:
        """Return the address as the start of an HTTP URL."""
        return f"http://{self.host}:{self.port}"


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetConfig:
    """Describe one stand-in target.

    :param target: Unique name.
    :param customer: Customer that it serves.
    :param service: Service that it serves.
    :param region: Region that it announces.
    :param availability_zone: Availability zone that it announces.
    :param listen: Where it listens.
    :param announce: Address that it announces, such as a proxy's; by default its own.
    :param slots: Requests that it runs at a time; further ones are shed.
    :param service_time_ms: Time that a request takes when the caches are warm.
    :param cold_factor: How many times longer the first request takes.
    :param cold_requests: Requests after which the caches are warm.
    :param answer_bytes: Length of the payload of an answer.
    :param leave_grace_s: Least seconds for which it serves on after SIGTERM.
    """

    __pydantic_config__ = _STRICT

    target: str
    customer: str
    service: str
    region: str
    availability_zone: str
    listen: Endpoint
    announce: Endpoint | None = None
    slots: Annotated[int, Field(ge=1)] = 4
    service_time_ms: Annotated[float, Field(ge=0)] = 5.0
    cold_factor: Annotated[float, Field(ge=1)] = 1.0
    cold_requests: Annotated[int, Field(ge=0)] = 0
    answer_bytes: Annotated[int, Field(ge=0)] = 256
    leave_grace_s: Annotated[float, Field(ge=0)] = 3.0

    @property
    def announced(self) -> Endpoint:
        """Return the address that is announced."""
        return self.announce or self.listen


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetHostConfig:
    """Describe all stand-in targets of one process.

    :param entries: Entry addresses to announce to; the next is tried when one fails.
    :param targets: The targets.
    :param runs_folder: Folder in which each target notes the start of each run, for
        the sake of records that outlive the process.
    """

    __pydantic_config__ = _STRICT

    entries: Annotated[tuple[Endpoint, ...], Field(min_length=1)]
    targets: Annotated[tuple[TargetConfig, ...], Field(min_length=1)]
    runs_folder: str | None = None

    @classmethod
    def from_file(cls, path: Path) -> Result["TargetHostConfig", tuple[Fault, ...]]:
        """Read and check a JSON file.

        :param path: The file.
        """
        return schema.from_json(cls, path.read_bytes())

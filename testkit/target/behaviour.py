"""Misbehaviours of a stand-in target, switched while it runs."""

from dataclasses import dataclass, replace
from enum import Enum
from typing import Annotated

from expression import Result
from pydantic import ConfigDict, Field

from mothshunt.util import schema
from mothshunt.util.schema import Fault


class Truncation(Enum):
    """How an answer's body is cut short."""

    LENGTH = "length"
    CHUNKED = "chunked"


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadLie:
    """Hold a load that is reported in place of the true one.

    :param in_flight: Requests in flight.
    :param connections: Connections held.
    :param age_ms: Age that the report claims.
    """

    in_flight: int = 0
    connections: int = 0
    age_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Behaviour:
    """Say how a target departs from serving well; the default is to serve well.

    :param slow_ms: Time added to each request.
    :param late_ms: Time added to each request, which runs on when it is cancelled.
    :param error_status: HTTP status answered to every request; 0 for none.
    :param healthy: What the health endpoint says, true or not.
    :param load_lie: Load that is reported in place of the true one.
    :param close_after_read: Close the connection after reading and running a request.
    :param truncate: Cut the body of answers short.
    :param shed: Shed every request.
    :param report_load: Whether announcements carry a load.
    :param announce: Whether announcements are sent at all.
    :param times: Requests that the request-level faults (all from ``slow_ms`` on but
        lies, reports and announcements) still apply to; ``None`` for all.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    slow_ms: Annotated[float, Field(ge=0)] = 0.0
    late_ms: Annotated[float, Field(ge=0)] = 0.0
    error_status: int = 0
    healthy: bool = True
    load_lie: LoadLie | None = None
    close_after_read: bool = False
    truncate: Truncation | None = None
    shed: bool = False
    report_load: bool = True
    announce: bool = True
    times: Annotated[int, Field(ge=0)] | None = None

    @classmethod
    def from_json(cls, text: bytes) -> Result["Behaviour", tuple[Fault, ...]]:
        """Read a behaviour; keys that are left out serve well.

        :param text: JSON text.
        """
        return schema.from_json(cls, text)

    def has_request_fault(self) -> bool:
        """Tell whether requests are treated badly."""
        return bool(
            self.slow_ms
            or self.late_ms
            or self.error_status
            or self.close_after_read
            or self.truncate
            or self.shed
        )

    def for_next_request(self) -> tuple["Behaviour", "Behaviour"]:
        """Return the behaviour for the next request and the one after it."""
        if self.times is None or not self.has_request_fault():
            return self, self
        if self.times == 0:
            served_well = replace(
                self,
                slow_ms=0.0,
                late_ms=0.0,
                error_status=0,
                close_after_read=False,
                truncate=None,
                shed=False,
            )
            return served_well, self
        return self, replace(self, times=self.times - 1)

"""The dispatch slice alone, with a fixed contract and one target.

Usage: ``python -m bench.hop_entry TARGET_PORT``; prints its port, then runs until
``SIGTERM``.
"""

import asyncio
import sys
from collections.abc import Set as AbstractSet

from aiohttp import web
from expression import Error, Ok, Result

from mothshunt.configuration.model import Configuration
from mothshunt.contract.model import (
    Contract,
    RegionCapacity,
    ServiceContract,
    ShiftLimit,
)
from mothshunt.core.clock import SystemClock
from mothshunt.core.codes import Failure
from mothshunt.core.types import (
    AvailabilityZoneId,
    CustomerId,
    Incarnation,
    Preference,
    RegionId,
    ServiceName,
    TargetId,
    TargetState,
)
from mothshunt.discovery.model import Target
from mothshunt.dispatch.codes import INTERNAL
from mothshunt.dispatch.forwarder import Forwarder
from mothshunt.dispatch.server import TrafficServer
from mothshunt.ledger.model import KeyClaim, KeyedRequest, StoredResponse
from mothshunt.limits.model import Permit
from mothshunt.metrics.registry import Metrics
from mothshunt.steering.model import Choice, Outcome

CUSTOMER = CustomerId("rackhaven")
SERVICE = ServiceName("cabinet-status")


class FixedConfiguration:
    """Give one contract with one service."""

    def __init__(self) -> None:
        contract = Contract(
            customer=CUSTOMER,
            weighs=Preference.LATENCY,
            services=(ServiceContract(service=SERVICE),),
            regions=(RegionCapacity(region=RegionId("north"), capacity=1000),),
            shift=ShiftLimit(cap=10, step=5),
        )
        self._configuration = Configuration(contract_by_customer={CUSTOMER: contract})

    def current(self) -> Configuration:
        """Return the configuration."""
        return self._configuration


class OneTarget:
    """Choose the same target for every request.

    :param port: TCP port of the target.
    """

    def __init__(self, port: int) -> None:
        self._permit = Permit(number=1, keys=())
        self._target = Target(
            id=TargetId("t1"),
            incarnation=Incarnation(1),
            customer=CUSTOMER,
            service=SERVICE,
            host="127.0.0.1",
            port=port,
            region=RegionId("north"),
            availability_zone=AvailabilityZoneId("north-a"),
            slots=1000,
            state=TargetState.SERVING,
            first_seen_at=0.0,
        )

    async def async_choose(
        self,
        *,
        contract: Contract,
        service: ServiceName,
        idempotent: bool,
        excluded: AbstractSet[TargetId],
        deadline: float,
    ) -> Result[Choice, Failure]:
        """Return the target."""
        return Ok(Choice(target=self._target, permit=self._permit, started_at=0.0))

    def may_dispatch(self, choice: Choice, now: float) -> bool:
        """Allow every request."""
        return True

    def finish(self, choice: Choice, outcome: Outcome, now: float) -> None:
        """Learn nothing."""


class NoLedger:
    """Refuse every claim; the benchmark sends no keys."""

    async def async_claim(
        self, request: KeyedRequest, deadline: float
    ) -> Result[KeyClaim | StoredResponse, Failure]:
        """Refuse the claim."""
        return Error(Failure(code=INTERNAL))

    async def async_stop(self) -> None:
        """Do nothing."""


async def _async_not_here(request: web.Request) -> web.StreamResponse:
    return web.Response(status=404)


async def async_main(target_port: int) -> None:
    """Serve until the process is stopped."""
    metrics = Metrics()
    forwarder = Forwarder(
        configuration=FixedConfiguration(),
        chooser=OneTarget(target_port),
        ledger=NoLedger(),
        metrics=metrics,
        clock=SystemClock(),
    )
    server = TrafficServer(
        host="127.0.0.1",
        port=0,
        forwarder=forwarder,
        lookup=_async_not_here,
        announce=_async_not_here,
        leave=_async_not_here,
        metrics=metrics,
    )
    await server.async_start()
    print(server.port, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(async_main(int(sys.argv[1])))

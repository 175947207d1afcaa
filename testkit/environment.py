"""A whole environment: deployment, stand-in targets, contracts, callers and load."""

import subprocess
from collections.abc import Coroutine, Iterable, Sequence
from concurrent.futures import Future
from types import TracebackType
from typing import Any, TypeVar

import aiohttp

from testkit.admin_client import Operator, Reply, new_change_id
from testkit.caller import Caller, make_session
from testkit.command_line import run_command
from testkit.contracts import contract_document, contract_path
from testkit.deployment import Deployment, Instance
from testkit.fleet import TargetFleet
from testkit.load import LoadDriver, LoadPlan, LoadReport
from testkit.loop_thread import LoopThread
from testkit.ports import HOST
from testkit.process import wait_until
from testkit.request import Request, Result
from testkit.running_load import RunningLoad
from testkit.shape import InstancePlan
from testkit.target.config import Endpoint, TargetConfig

T = TypeVar("T")

#: Stated target for a change to be in force on every reachable instance.
IN_FORCE_TARGET_S = 5.0
IN_FORCE_TIMEOUT_S = 20.0
TARGETS_TIMEOUT_S = 20.0
LEADER_TIMEOUT_S = 30.0
METRIC_IS_LEADER = "mothshunt_consensus_is_leader"
METRIC_TERM = "mothshunt_consensus_term"
IN_FORCE_POLL_S = 0.02


class Environment:
    """Run a deployment with all that surrounds it.

    :param plans: Instances of the deployment.
    :param with_proxies: Whether instances reach each other through proxies.
    :param region_rtt_s: Round-trip time between regions that the proxies add.
    """

    def __init__(
        self,
        plans: Iterable[InstancePlan],
        *,
        with_proxies: bool = False,
        region_rtt_s: float = 0.0,
    ) -> None:
        self.deployment = Deployment(
            plans, with_proxies=with_proxies, region_rtt_s=region_rtt_s
        )
        self.fleet = TargetFleet(
            entries=[self.entry(item) for item in self.deployment.entry_instances],
            ports=self.deployment.ports,
            folder=self.deployment.folder,
        )
        self._loop = LoopThread()
        self._sessions: list[aiohttp.ClientSession] = []

    def __enter__(self) -> "Environment":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End everything at once."""
        for session in self._sessions:
            self._loop.run(session.close())
        self._loop.close()
        self.fleet.close()
        self.deployment.close()

    @staticmethod
    def entry(instance: Instance) -> Endpoint:
        """Return the address for callers of an instance.

        :param instance: The instance.
        """
        return Endpoint(host=HOST, port=instance.traffic_port)

    def operator(self, instance_id: str | None = None, **options: Any) -> Operator:
        """Return an operator.

        :param instance_id: Control instance to ask; any by default.
        :param options: Further parameters of ``Operator``.
        """
        if instance_id is not None:
            return Operator(self.deployment[instance_id], **options)
        running = [
            item
            for item in self.deployment.control_instances
            if item.process.is_running()
        ]
        return Operator(running[0], **options)

    def command(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line.

        :param words: The command with its options.
        """
        urls = [item.admin_url for item in self.deployment.control_instances]
        return run_command(urls, words)

    def apply_contract(self, customer: str) -> None:
        """Apply a customer's contract through the command line.

        :param customer: Customer.
        """
        done = self.command("contract", "apply", str(contract_path(customer)), "--wait")
        assert done.returncode == 0, f"{done.returncode}: {done.stdout}{done.stderr}"

    def put_contract(
        self,
        customer: str,
        operator: Operator | None = None,
        *,
        base_revision: int = 0,
        **fields: Any,
    ) -> Reply:
        """Replace a customer's contract.

        :param customer: Customer.
        :param operator: Who asks; any control instance by default.
        :param base_revision: Revision that the change is based on.
        :param fields: Fields that differ from the kit's contract.
        """
        document = {**contract_document(customer), **fields}
        return (operator or self.operator()).put_contract(
            document, base_revision=base_revision, change_id=new_change_id()
        )

    def leader(self) -> str:
        """Return the control instance that leads, of the newest term that one leads."""
        found: list[str] = []

        def has_leader() -> bool:
            found[:] = self._leaders()
            return bool(found)

        wait_until(has_leader, LEADER_TIMEOUT_S, "an instance leads")
        return found[-1]

    def _leaders(self) -> list[str]:
        terms = []
        for item in self.deployment.control_instances:
            metrics = item.metrics() if item.process.is_running() else {}
            if metrics.get(METRIC_IS_LEADER) == 1:
                terms.append((metrics[METRIC_TERM], item.id))
        return [instance_id for _, instance_id in sorted(terms)]

    def wait_in_force(
        self,
        revision: int,
        instances: Sequence[Instance] | None = None,
        timeout_s: float = IN_FORCE_TIMEOUT_S,
    ) -> float:
        """Wait until a revision is in force and return the seconds that it took.

        :param revision: The revision.
        :param instances: Where; at all running instances by default.
        :param timeout_s: Seconds to wait.
        """
        waiting = instances or [
            item for item in self.deployment.instances if item.process.is_running()
        ]
        return wait_until(
            lambda: all(item.revision() >= revision for item in waiting),
            timeout_s,
            f"revision {revision} is in force",
            IN_FORCE_POLL_S,
        )

    def wait_targets_known(self, targets: Iterable[TargetConfig]) -> None:
        """Wait until each running entry serves from each target's service.

        :param targets: The targets.
        """
        wanted = {(target.customer, target.service) for target in targets}
        for instance in self.deployment.entry_instances:
            if not instance.process.is_running():
                continue
            for customer, service in sorted(wanted):
                self._wait_served(instance, customer, service)

    def caller(
        self,
        customer: str,
        region: str,
        number: int = 1,
        *,
        kept: bool = True,
        **options: Any,
    ) -> Caller:
        """Return a caller in a region; it asks the entries of its region first.

        :param customer: Customer.
        :param region: Region of the caller.
        :param number: Number of the caller; callers differ in their address block.
        :param kept: Whether it uses connections again.
        :param options: Further parameters of ``Caller``.
        """
        entries = self.deployment.entry_instances
        near_first = sorted(entries, key=lambda item: item.plan.region != region)

        async def open_session() -> aiohttp.ClientSession:
            return make_session(kept_connections=kept)

        session = self._loop.run(open_session())
        self._sessions.append(session)
        return Caller(
            customer=customer,
            client=f"10.{number // 256}.{number % 256}.1",
            ask=[self.entry(item) for item in near_first],
            session=session,
            **options,
        )

    def send(self, caller: Caller, request: Request) -> Result:
        """Send one request and wait for its end.

        :param caller: Who sends.
        :param request: The request.
        """
        return self._loop.run(caller.async_send(request))

    def submit(self, work: Coroutine[Any, Any, T]) -> "Future[T]":
        """Begin a coroutine in the event loop of the callers and return at once.

        :param work: The coroutine.
        """
        return self._loop.submit(work)

    def begin(self, caller: Caller, request: Request) -> "Future[Result]":
        """Send one request and return at once.

        :param caller: Who sends.
        :param request: The request.
        """
        return self._loop.submit(caller.async_send(request))

    def lookup(self, caller: Caller, service: str) -> tuple[Endpoint, ...]:
        """Return the entries that a caller is told to use.

        :param caller: The caller.
        :param service: Service.
        """
        return self._loop.run(caller.async_lookup(service))

    def start_load(self, plan: LoadPlan, callers: Sequence[Caller]) -> RunningLoad:
        """Begin a load.

        :param plan: The load.
        :param callers: Who sends.
        """

        async def make() -> LoadDriver:
            return LoadDriver(plan, callers)

        return RunningLoad(self._loop, self._loop.run(make()))

    def violations(self, report: LoadReport) -> list[str]:
        """Return what must never be, by a load's answers and the targets' records.

        :param report: What became of the load.
        """
        return report.violations(self.fleet.run_count_by_id())

    def _wait_served(self, instance: Instance, customer: str, service: str) -> None:
        async def served() -> bool:
            async with make_session(kept_connections=False) as session:
                caller = Caller(
                    customer=customer,
                    client="10.0.0.1",
                    ask=[self.entry(instance)],
                    session=session,
                )
                result = await caller.async_send_to(
                    self.entry(instance), Request(request_id="warm", service=service)
                )
                return result.answer is not None

        wait_until(
            lambda: self._loop.run(served()),
            TARGETS_TIMEOUT_S,
            f"{instance.id} serves {customer}/{service}",
        )

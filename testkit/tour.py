"""A tour of a running deployment, one line a step."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from testkit.contracts import contract_document
from testkit.environment import IN_FORCE_TARGET_S, Environment
from testkit.load import LoadPlan, LoadReport, RequestKind
from testkit.profiles import PROFILES_BY_CUSTOMER, thin_targets
from testkit.repeats import send_until_kept
from testkit.request import Outcome, Request
from testkit.running_load import RunningLoad
from testkit.shape import REGIONS

#: Seconds after which a drained target may get no new work, as the brief asks.
DRAIN_TARGET_S = 2.0
LOAD_RATE_PER_S = 60.0
#: Request that takes long enough for a stop to fall into it, in milliseconds.
LONG_REQUEST_MS = 1500


@dataclass(frozen=True, kw_only=True, slots=True)
class CustomerTour:
    """Say which requests a tour makes for a customer.

    :param customer: Customer.
    :param read: Service that is read from.
    :param commit: Service of the request that may not be repeated.
    :param commit_path: Its path.
    """

    customer: str
    read: str
    commit: str
    commit_path: str


TOURS = (
    CustomerTour(
        customer="rackhaven",
        read="cabinet-status",
        commit="site-access",
        commit_path="/bookings",
    ),
    CustomerTour(
        customer="sleman",
        read="inventory",
        commit="tray-reservation",
        commit_path="/reservations",
    ),
)


class Tour:
    """Show what a deployment does, for both customers.

    :param environment: The environment; not yet started.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._failed = 0

    def run(self) -> int:
        """Make the tour; return the exit code."""
        self._step("start", self._start)
        for tour in TOURS:
            for name, step in (
                ("contract", self._contract),
                ("announce", self._announce),
                ("look-up", self._lookup),
                ("read", self._read),
                ("booking", self._booking),
                ("contract change", self._change),
                ("drain", self._drain),
            ):
                self._step(f"{tour.customer}: {name}", lambda s=step, t=tour: s(t))
        self._step("graceful stop", self._stop)
        print(f"{'FAILED' if self._failed else 'all right'}", flush=True)
        return 1 if self._failed else 0

    def _step(self, name: str, step: Callable[[], str]) -> None:
        started_at = time.monotonic()
        try:
            text = step()
            verdict = "ok  "
        except Exception as error:
            self._failed += 1
            text = f"{type(error).__name__}: {error}"
            verdict = "FAIL"
        took_s = time.monotonic() - started_at
        print(f"{verdict} {name} ({took_s:.2f} s): {text}", flush=True)

    def _start(self) -> str:
        self._environment.deployment.start()
        return f"{len(self._environment.deployment.instances)} instances are ready"

    def _contract(self, tour: CustomerTour) -> str:
        self._environment.apply_contract(tour.customer)
        return "applied with the command line, in force on every instance"

    def _announce(self, tour: CustomerTour) -> str:
        environment = self._environment
        profiles = PROFILES_BY_CUSTOMER[tour.customer]
        targets = [target for item in profiles for target in thin_targets(item)]
        environment.fleet.add(tour.customer, targets)
        environment.wait_targets_known(targets)
        return f"{len(targets)} targets of {len(profiles)} services are in use"

    def _lookup(self, tour: CustomerTour) -> str:
        counts = []
        for region in REGIONS:
            caller = self._environment.caller(tour.customer, region)
            entries = self._environment.lookup(caller, tour.read)
            assert entries, f"no entries for a caller in {region}"
            counts.append(f"{region} {len(entries)}")
        return f"entries for a caller by region: {', '.join(counts)}"

    def _read(self, tour: CustomerTour) -> str:
        caller = self._environment.caller(tour.customer, REGIONS[0])
        request = Request(request_id=f"read-{tour.customer}", service=tour.read)
        result = self._environment.send(caller, request)
        assert result.answer is not None, result
        return (
            f"whole answer of {result.answer.target}, {result.latency_s * 1e3:.1f} ms"
        )

    def _booking(self, tour: CustomerTour) -> str:
        environment = self._environment
        request = Request(
            request_id=f"booking-{tour.customer}",
            service=tour.commit,
            method="POST",
            path=tour.commit_path,
            key=f"booking-{tour.customer}",
            body=b"one",
        )
        first = environment.send(environment.caller(tour.customer, "north"), request)
        assert first.outcome is Outcome.WHOLE, first
        other = environment.caller(tour.customer, "south")
        again = send_until_kept(lambda: environment.send(other, request))
        assert again.outcome is Outcome.WHOLE, again
        assert again.answer == first.answer, (first, again)
        runs = environment.fleet.run_count_by_id()[request.request_id]
        assert runs == 1, f"run {runs} times"
        return (
            f"run once, {first.latency_s * 1e3:.1f} ms; sent again through another "
            f"entry: the first answer, {again.latency_s * 1e3:.1f} ms"
        )

    def _change(self, tour: CustomerTour) -> str:
        environment = self._environment
        operator = environment.operator()
        before = operator.get_contract(tour.customer)
        document = contract_document(tour.customer)
        document["shift"]["cap"] -= 1
        reply = environment.put_contract(
            tour.customer,
            operator,
            base_revision=before.revision,
            shift=document["shift"],
        )
        assert reply.is_accepted, reply
        in_force_s = environment.wait_in_force(reply.revision)
        assert in_force_s <= IN_FORCE_TARGET_S, in_force_s
        return f"revision {reply.revision} in force everywhere after {in_force_s:.3f} s"

    def _drain(self, tour: CustomerTour) -> str:
        environment = self._environment
        target = f"{tour.read}-north-a1"
        load = self._start_load(tour)
        try:
            done = environment.command("drain", "add", "target", target, "--wait")
            assert done.returncode == 0, done.stdout + done.stderr
            drained_at = time.time()
            time.sleep(DRAIN_TARGET_S + 1)
        finally:
            report = load.stop()
        late = [
            run["started_at_unix"] - drained_at
            for run in environment.fleet.runs(target)
            if run["started_at_unix"] > drained_at + DRAIN_TARGET_S
        ]
        assert not late, f"new work on {target} after {late} s"
        violations = environment.violations(report)
        assert not violations, violations
        assert report.count(Outcome.BROKEN) == 0, report.count_by_outcome()
        return f"no new work on {target}; requests meanwhile: {_counts(report)}"

    def _stop(self) -> str:
        environment = self._environment
        pending = [
            environment.begin(
                environment.caller(tour.customer, region),
                Request(
                    request_id=f"last-{tour.customer}-{region}",
                    service=tour.read,
                    headers={"X-Test-Service-Ms": str(LONG_REQUEST_MS)},
                ),
            )
            for tour in TOURS
            for region in REGIONS
        ]
        time.sleep(LONG_REQUEST_MS / 3000)
        exit_codes = environment.deployment.stop()
        exit_codes |= environment.fleet.stop()
        ends = [future.result() for future in pending]
        broken = [end for end in ends if end.outcome is not Outcome.WHOLE]
        assert not broken, broken
        wrong = {name: code for name, code in exit_codes.items() if code != 0}
        assert not wrong, wrong
        return (
            f"{len(exit_codes)} processes ended, {len(ends)} requests in flight whole"
        )

    def _start_load(self, tour: CustomerTour) -> RunningLoad:
        kinds = (
            RequestKind(service=tour.read, weight=4),
            RequestKind(
                service=tour.commit,
                method="POST",
                path=tour.commit_path,
                with_key=True,
            ),
        )
        plan = LoadPlan(kinds=kinds, rate_per_s=LOAD_RATE_PER_S)
        callers = [self._environment.caller(tour.customer, item) for item in REGIONS]
        return self._environment.start_load(plan, callers)


def _counts(report: LoadReport) -> str:
    counts = report.count_by_outcome() | report.refused_by_code()
    return ", ".join(f"{name} {count}" for name, count in counts.items())

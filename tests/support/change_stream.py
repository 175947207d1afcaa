"""Operator that changes a contract repeatedly and retries while instances fail."""

import threading
import time
from dataclasses import dataclass

from testkit.admin_client import Operator, Reply, new_change_id
from testkit.contracts import contract_document

#: Longest time until the outcome of one change is known, retries included.
OUTCOME_TIMEOUT_S = 60.0
RETRY_PAUSE_S = 0.1
ATTEMPT_TIMEOUT_MS = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class AcceptedChange:
    """AcceptedChange change.

    :param change_id: Id of the change.
    :param revision: Revision in the response to the operator.
    :param marker: Value that the change wrote into the contract.
    :param took_s: Seconds from the first attempt to the response.
    """

    change_id: str
    revision: int
    marker: float
    took_s: float


class ChangeStream:
    """Sequence of changes; each is retried until its outcome is known.

    :param customer: Customer whose contract is changed.
    :param operators: Clients of the admin API, one for each instance; each failure
        moves on to the next.
    """

    def __init__(self, customer: str, operators: list[Operator]) -> None:
        self._customer = customer
        self._operators = operators
        self._operator_index = 0
        self._base_revision = 0
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None
        self._error: BaseException | None = None
        self.accepted: list[AcceptedChange] = []
        self.attempts = 0

    def start(self) -> None:
        """Start to make changes in a thread."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> list[AcceptedChange]:
        """Stop after the change in progress, and return the accepted changes."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join(2 * OUTCOME_TIMEOUT_S)
        if self._error is not None:
            raise self._error
        return self.accepted

    def make(self, count: int) -> list[AcceptedChange]:
        """Make some changes and return those that were accepted in this call.

        :param count: Number of changes.
        """
        before = len(self.accepted)
        for _ in range(count):
            self._make_one()
        return self.accepted[before:]

    def _run(self) -> None:
        try:
            while not self._stopped.is_set():
                self._make_one()
        except BaseException as error:
            self._error = error

    def _make_one(self) -> None:
        change_id = new_change_id()
        marker = float(len(self.accepted) % 900 + 1)
        document = contract_document(self._customer)
        document["retry"]["minimum_per_s"] = marker
        if not self._base_revision:
            self._base_revision = self._read_base()
        started_at = time.monotonic()
        while True:
            reply = self._operator().put_contract(
                document, base_revision=self._base_revision, change_id=change_id
            )
            self.attempts += 1
            if reply.is_accepted:
                break
            if reply.is_conflict:
                raise AssertionError(
                    f"conflict although no other operator makes changes: {reply}"
                )
            if time.monotonic() - started_at > OUTCOME_TIMEOUT_S:
                raise TimeoutError(f"change {change_id} has no known outcome: {reply}")
            self._next_operator()
        self._base_revision = reply.revision
        self.accepted.append(
            AcceptedChange(
                change_id=change_id,
                revision=reply.revision,
                marker=marker,
                took_s=time.monotonic() - started_at,
            )
        )

    def _read_base(self) -> int:
        started_at = time.monotonic()
        while True:
            reply = self._operator().get_contract(self._customer)
            if reply.status == 200:
                return reply.revision
            if time.monotonic() - started_at > OUTCOME_TIMEOUT_S:
                raise TimeoutError(f"contract could not be read: {reply}")
            self._next_operator()

    def _operator(self) -> Operator:
        return self._operators[self._operator_index % len(self._operators)]

    def _next_operator(self) -> None:
        self._operator_index += 1
        time.sleep(RETRY_PAUSE_S)


def find_change(operators: list[Operator], change_id: str) -> Reply:
    """Return the outcome of a change; retry until an instance can confirm it.

    :param operators: Clients of the admin API, asked in turn.
    :param change_id: Id of the change.
    """
    started_at = time.monotonic()
    turn = 0
    while True:
        reply = operators[turn % len(operators)].get_change(change_id)
        if reply.status in (200, 404):
            return reply
        if time.monotonic() - started_at > OUTCOME_TIMEOUT_S:
            raise TimeoutError(f"no instance could confirm change {change_id}: {reply}")
        turn += 1
        time.sleep(RETRY_PAUSE_S)

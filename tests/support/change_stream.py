"""An operator's script that changes a contract again and again, whatever fails."""

import threading
import time
from dataclasses import dataclass

from testkit.admin_client import Operator, Reply, new_change_id
from testkit.contracts import contract_document

#: Time that one change may take until its outcome is known, faults included.
OUTCOME_TIMEOUT_S = 60.0
RETRY_PAUSE_S = 0.1
ATTEMPT_TIMEOUT_MS = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """Record a change that was accepted.

    :param change_id: The change.
    :param revision: Revision that the operator was told.
    :param marker: What the change wrote into the contract.
    :param took_s: Seconds from the first attempt to the answer.
    """

    change_id: str
    revision: int
    marker: float
    took_s: float


class ChangeStream:
    """Make changes one after the other, each until its outcome is known.

    :param customer: Customer whose contract is changed.
    :param operators: Instances to ask, the next one after each failure.
    """

    def __init__(self, customer: str, operators: list[Operator]) -> None:
        self._customer = customer
        self._operators = operators
        self._turn = 0
        self._base_revision = 0
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None
        self._error: BaseException | None = None
        self.accepted: list[Accepted] = []
        self.attempts = 0

    def start(self) -> None:
        """Begin in a thread."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> list[Accepted]:
        """End after the change that is on its way, and return the accepted ones."""
        self._stopped.set()
        if self._thread is not None:
            self._thread.join(2 * OUTCOME_TIMEOUT_S)
        if self._error is not None:
            raise self._error
        return self.accepted

    def make(self, count: int) -> list[Accepted]:
        """Make some changes and return those that this call had accepted.

        :param count: How many.
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
                raise AssertionError(f"the only operator met a conflict: {reply}")
            if time.monotonic() - started_at > OUTCOME_TIMEOUT_S:
                raise TimeoutError(f"{change_id} has no outcome: {reply}")
            self._next_operator()
        self._base_revision = reply.revision
        self.accepted.append(
            Accepted(
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
                raise TimeoutError(f"the contract can't be read: {reply}")
            self._next_operator()

    def _operator(self) -> Operator:
        return self._operators[self._turn % len(self._operators)]

    def _next_operator(self) -> None:
        self._turn += 1
        time.sleep(RETRY_PAUSE_S)


def find_change(operators: list[Operator], change_id: str) -> Reply:
    """Ask what became of a change until a majority has answered.

    :param operators: Instances to ask in turn.
    :param change_id: The change.
    """
    started_at = time.monotonic()
    turn = 0
    while True:
        reply = operators[turn % len(operators)].get_change(change_id)
        if reply.status in (200, 404):
            return reply
        if time.monotonic() - started_at > OUTCOME_TIMEOUT_S:
            raise TimeoutError(f"nobody knows of {change_id}: {reply}")
        turn += 1
        time.sleep(RETRY_PAUSE_S)

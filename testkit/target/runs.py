"""Record of the requests that a stand-in target has run."""

import json
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, BinaryIO


@dataclass(slots=True)
class Run:
    """Record one run of a request.

    :param request_id: Id of the request.
    :param key: Idempotency key; empty when there was none.
    :param method: HTTP method.
    :param path: Path with query.
    :param deadline_ms: Deadline header as received; empty when there was none.
    :param started_at_unix: Wall clock at the start, in seconds.
    :param ended: ``running``, ``answered``, ``cancelled`` or ``broken``.
    :param ended_at_unix: Wall clock at the end, in seconds; 0 while it runs.
    :param number: Number of the run at this process, from 0.
    """

    request_id: str
    key: str
    method: str
    path: str
    deadline_ms: str
    started_at_unix: float = field(default_factory=time.time)
    ended: str = "running"
    ended_at_unix: float = 0.0
    number: int = 0


@dataclass(slots=True)
class RunRecord:
    """Keep all runs of one target.

    :param journal: File that gets a line for each run before it begins and after it
        ends, so that the record outlives the process.
    """

    journal: BinaryIO | None = None
    runs: list[Run] = field(default_factory=list)
    received: int = 0
    shed: int = 0
    in_flight: int = 0
    _count_by_id: Counter[str] = field(default_factory=Counter)

    def start(self, run: Run) -> int:
        """Record the start of a run.

        :param run: The run.
        :return: How many times the request has been run here, this time included.
        """
        run.number = len(self.runs)
        self._note(run)
        self.runs.append(run)
        self.in_flight += 1
        self._count_by_id[run.request_id] += 1
        return self._count_by_id[run.request_id]

    def end(self, run: Run, how: str) -> None:
        """Record the end of a run.

        :param run: The run.
        :param how: ``answered``, ``cancelled`` or ``broken``.
        """
        run.ended = how
        run.ended_at_unix = time.time()
        self.in_flight -= 1
        self._note(run)

    @property
    def finished(self) -> int:
        """Return how many runs have ended."""
        return len(self.runs) - self.in_flight

    def _note(self, run: Run) -> None:
        if self.journal is not None:
            self.journal.write(json.dumps(asdict(run)).encode() + b"\n")


def journal_path(folder: Path, target: str) -> Path:
    """Return the path of a target's journal.

    :param folder: Folder of all journals.
    :param target: Name of the target.
    """
    return folder / f"{target}.runs"


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Return the runs of a journal; a torn last line is left out.

    :param path: The journal.
    """
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")[:-1]
    runs: list[dict[str, Any]] = []
    open_by_number: dict[int, int] = {}
    for line in lines:
        run = json.loads(line)
        place = open_by_number.pop(run["number"], None)
        if place is not None and run["ended"] != "running":
            runs[place] = run
            continue
        # A restarted target counts its runs from 0 again.
        open_by_number[run["number"]] = len(runs)
        runs.append(run)
    return runs

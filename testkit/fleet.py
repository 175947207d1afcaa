"""Stand-in targets as processes of their own, with their records."""

import json
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from mothshunt.util import schema
from testkit.plain_http import http_get, http_send
from testkit.ports import HOST, PortReservations
from testkit.process import ManagedProcess, wait_until
from testkit.target.config import Endpoint, TargetConfig, TargetHostConfig
from testkit.target.runs import journal_path, read_journal

TARGET_MODULE = "testkit.target"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0
#: Port of a target that gets one when its process is made.
ANY_PORT = 0


class TargetProcess:
    """One process that runs one or more stand-in targets.

    :param name: Name for its files.
    :param targets: Its targets; those with port 0 are given one.
    :param entries: Entry addresses to announce to.
    :param ports: Source of ports.
    :param folder: Folder for its settings and its log.
    """

    def __init__(
        self,
        *,
        name: str,
        targets: Iterable[TargetConfig],
        entries: Sequence[Endpoint],
        ports: PortReservations,
        folder: Path,
    ) -> None:
        self.targets = tuple(_with_port(target, ports) for target in targets)
        config = TargetHostConfig(
            entries=tuple(entries), targets=self.targets, runs_folder=str(folder)
        )
        config_path = folder / f"{name}.json"
        config_path.write_bytes(schema.to_json(config, indent=2))
        self.process = ManagedProcess(
            name=name,
            module=TARGET_MODULE,
            arguments=["--config", str(config_path)],
            log_path=folder / f"{name}.log",
        )

    def start(self) -> None:
        """Start the process and wait until all targets listen."""
        self.process.start()
        self.wait()

    def wait(self) -> None:
        """Wait until all targets listen."""
        wait_until(self._all_listen, START_TIMEOUT_S, f"{self.process.name} listens")

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop the process gracefully and return its exit code.

        :param timeout_s: Seconds to wait.
        """
        self.process.terminate()
        return self.process.wait(timeout_s)

    def _all_listen(self) -> bool:
        if not self.process.is_running():
            raise RuntimeError(f"a target ended:\n{self.process.log_tail()}")
        return all(
            http_get(f"{target.listen.url}/_testkit/health")[0] != 0
            for target in self.targets
        )


class TargetFleet:
    """All stand-in targets of a test.

    :param entries: Entry addresses to announce to.
    :param ports: Source of ports.
    :param folder: Folder for settings and logs.
    """

    def __init__(
        self, *, entries: Sequence[Endpoint], ports: PortReservations, folder: Path
    ) -> None:
        self._entries = tuple(entries)
        self._ports = ports
        self._folder = folder
        self.process_by_name: dict[str, TargetProcess] = {}

    def add(self, name: str, targets: Iterable[TargetConfig]) -> TargetProcess:
        """Start a process with some targets.

        :param name: Name of the process.
        :param targets: Its targets; those with port 0 are given one.
        """
        process = self._make(name, targets)
        process.start()
        return process

    def add_all(self, targets_by_name: Mapping[str, Iterable[TargetConfig]]) -> None:
        """Start several processes at once.

        :param targets_by_name: Targets by the name of their process.
        """
        processes = [self._make(name, part) for name, part in targets_by_name.items()]
        for process in processes:
            process.process.start()
        for process in processes:
            process.wait()

    def _make(self, name: str, targets: Iterable[TargetConfig]) -> TargetProcess:
        process = TargetProcess(
            name=name,
            targets=targets,
            entries=self._entries,
            ports=self._ports,
            folder=self._folder,
        )
        self.process_by_name[name] = process
        return process

    @property
    def targets(self) -> list[TargetConfig]:
        """Return all targets, those of ended processes included."""
        processes = self.process_by_name.values()
        return [target for process in processes for target in process.targets]

    def target(self, name: str) -> TargetConfig:
        """Return one target.

        :param name: Name of the target.
        """
        return next(target for target in self.targets if target.target == name)

    def process_of(self, name: str) -> TargetProcess:
        """Return the process that runs a target.

        :param name: Name of the target.
        """
        for process in self.process_by_name.values():
            if any(target.target == name for target in process.targets):
                return process
        raise KeyError(name)

    def runs(self, name: str) -> list[dict[str, Any]]:
        """Return the runs that a target recorded, also when it was killed since.

        :param name: Name of the target.
        """
        runs = read_journal(journal_path(self._folder, name))
        return [{**run, "target": name} for run in runs]

    def stats(self, name: str) -> dict[str, Any]:
        """Return the sums that a target keeps.

        :param name: Name of the target.
        """
        return self._ask(name, "stats")

    def all_runs(self) -> list[dict[str, Any]]:
        """Return the runs of all targets, those of killed ones included."""
        return [run for target in self.targets for run in self.runs(target.target)]

    def run_count_by_id(self) -> Counter[str]:
        """Return how often each request was run, at all targets together."""
        return Counter(run["request_id"] for run in self.all_runs())

    def behave(self, name: str, **behaviour: Any) -> None:
        """Switch the misbehaviour of a target; without any, it serves well.

        :param name: Name of the target.
        :param behaviour: Fields of ``testkit.target.behaviour.Behaviour``.
        """
        url = f"{self.target(name).listen.url}/_testkit/behave"
        status, body = http_send("POST", url, document=behaviour)
        assert status == 200, f"{name}: {status} {body!r}"

    def silence_open(self, name: str) -> int:
        """Make the open connections of a target silent for good; new ones work.

        :param name: Name of the target.
        :return: How many connections were silenced.
        """
        url = f"{self.target(name).listen.url}/_testkit/silence"
        status, body = http_send("POST", url)
        assert status == 200, f"{name}: {status}"
        return int(json.loads(body)["silenced"])

    def stop(self) -> dict[str, int]:
        """Stop all processes gracefully, together; return their exit codes."""
        running = [p for p in self.process_by_name.values() if p.process.is_running()]
        for process in running:
            process.process.terminate()
        return {p.process.name: p.process.wait(STOP_TIMEOUT_S) for p in running}

    def close(self) -> None:
        """End what still runs."""
        for process in self.process_by_name.values():
            process.process.kill()

    def _ask(self, name: str, what: str) -> dict[str, Any]:
        url = f"{self.target(name).listen.url}/_testkit/{what}"
        status, body = http_get(url)
        assert status == 200, f"{name}: {status}"
        return dict(json.loads(body))


def _with_port(target: TargetConfig, ports: PortReservations) -> TargetConfig:
    if target.listen.port != ANY_PORT:
        return target
    return replace(target, listen=Endpoint(host=HOST, port=ports.take()))

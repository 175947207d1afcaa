"""Watch for instances whose revision in force goes back."""

import json
import threading

from testkit.deployment import Instance
from testkit.plain_http import http_get

POLL_S = 0.03
TIMEOUT_S = 1.0


class RevisionWatch:
    """Recorder of each time that a ready instance has an older revision than before.

    :param instances: Instances to watch.
    """

    def __init__(self, instances: list[Instance]) -> None:
        self._instances = instances
        self._newest_by_instance: dict[str, int] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.reverts: list[str] = []

    def start(self) -> None:
        """Start to poll the instances in a thread."""
        self._thread.start()

    def stop(self) -> list[str]:
        """Stop, and return a text for each time that a revision went back."""
        self._stopped.set()
        self._thread.join()
        return self.reverts

    def _run(self) -> None:
        while not self._stopped.wait(POLL_S):
            for instance in self._instances:
                self._check(instance)

    def _check(self, instance: Instance) -> None:
        status, body = http_get(f"{instance.admin_url}/readyz", TIMEOUT_S)
        if status != 200:
            return
        revision = int(json.loads(body)["revision"])
        newest = self._newest_by_instance.get(instance.id, 0)
        if revision < newest:
            self.reverts.append(f"{instance.id}: {revision} after {newest}")
        self._newest_by_instance[instance.id] = max(newest, revision)

"""An operator that uses the administration API over HTTP."""

import json
import uuid
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from testkit.deployment import BOOTSTRAP_TOKEN, Instance
from testkit.plain_http import http_send

DEFAULT_TIMEOUT_MS = 5_000
CLIENT_GRACE_S = 5.0
STATUS_OK = 200
STATUS_CONFLICT = 409


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Hold one answer of the administration API.

    :param status: HTTP status; 0 when there was no answer.
    :param document: The JSON document; empty when there was no answer.
    """

    status: int
    document: dict[str, Any]

    @property
    def is_accepted(self) -> bool:
        """Tell whether a change was accepted."""
        return self.status == STATUS_OK

    @property
    def is_conflict(self) -> bool:
        """Tell whether another change won."""
        return self.status == STATUS_CONFLICT

    @property
    def is_certain_no(self) -> bool:
        """Tell whether a change was said not to have been accepted."""
        return self.status != STATUS_OK and self.document.get("ran") == "no"

    @property
    def revision(self) -> int:
        """Return the revision that the answer names."""
        return int(self.document["revision"])


def new_change_id() -> str:
    """Return a change id that was never used."""
    return f"change-{uuid.uuid4().hex[:12]}"


class Operator:
    """Use the administration API of one instance.

    :param instance: The instance that is asked.
    :param token: Token of the operator.
    :param timeout_ms: Time that the API is given.
    :param url: Start of URLs, such as a proxy's; by default the instance's own.
    :param grace_s: How much longer than the API the operator waits for its answer.
    """

    def __init__(
        self,
        instance: Instance,
        *,
        token: str = BOOTSTRAP_TOKEN,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
        url: str | None = None,
        grace_s: float = CLIENT_GRACE_S,
    ) -> None:
        self._grace_s = grace_s
        self._url = url or instance.admin_url
        self._token = token
        self._timeout_ms = timeout_ms

    def put_contract(
        self, document: dict[str, Any], *, base_revision: int, change_id: str
    ) -> Reply:
        """Replace a contract.

        :param document: The contract.
        :param base_revision: Revision that the change is based on.
        :param change_id: Id of the change.
        """
        return self._send(
            "PUT",
            f"/v1/contracts/{document['customer']}",
            document=document,
            change_id=change_id,
            base_revision=base_revision,
        )

    def get_contract(self, customer: str) -> Reply:
        """Return the present contract, as a majority confirms it.

        :param customer: Customer.
        """
        return self._send("GET", f"/v1/contracts/{customer}")

    def get_change(self, change_id: str) -> Reply:
        """Return what became of a change.

        :param change_id: Id of the change.
        """
        return self._send("GET", f"/v1/changes/{change_id}")

    def put_drain(self, kind: str, name: str, *, change_id: str | None = None) -> Reply:
        """Drain something.

        :param kind: ``target``, ``instance``, ``availability_zone`` or ``region``.
        :param name: Its name.
        :param change_id: Id of the change; a new one by default.
        """
        return self._send(
            "PUT",
            f"/v1/drains/{kind}/{name}",
            document={"reason": "test"},
            change_id=change_id or new_change_id(),
            base_revision=0,
        )

    def get_drain(self, kind: str, name: str) -> Reply:
        """Show a drain with its progress.

        :param kind: Kind of what is drained.
        :param name: Its name.
        """
        return self._send("GET", f"/v1/drains/{kind}/{name}")

    def delete_drain(self, kind: str, name: str, *, base_revision: int) -> Reply:
        """Remove a drain.

        :param kind: Kind of what is drained.
        :param name: Its name.
        :param base_revision: Revision of the drain.
        """
        return self._send(
            "DELETE",
            f"/v1/drains/{kind}/{name}",
            change_id=new_change_id(),
            base_revision=base_revision,
        )

    def instances(self) -> Reply:
        """Show how the instances stand."""
        return self._send("GET", "/v1/instances")

    def _send(
        self, method: str, path: str, *, document: Any = None, **query: Any
    ) -> Reply:
        query["timeout_ms"] = self._timeout_ms
        url = f"{self._url}{path}?{urlencode(query)}"
        status, body = http_send(
            method,
            url,
            document=document,
            headers={"Authorization": f"Bearer {self._token}"},
            timeout_s=self._timeout_ms / 1000 + self._grace_s,
        )
        try:
            return Reply(status=status, document=json.loads(body))
        except ValueError:
            return Reply(status=status, document={})

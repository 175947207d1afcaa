"""Messages of one instance to itself, for entry and control parts in one process."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any

from expression import Error, Ok, Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId
from mothshunt.helpers.peer import codes as peer_codes

#: Name of the only instance.
OWN_ID = InstanceId("e")


class LoopbackNetwork:
    """Network of an instance that has both roles; a ``PeerNetwork``.

    :param is_cut: Whether all messages are lost.
    """

    def __init__(self) -> None:
        self.is_cut = False
        self._on_message_by_class: dict[type, Callable[[InstanceId, Any], None]] = {}
        self._on_request_by_class: dict[
            type, Callable[[InstanceId, Any], Awaitable[object]]
        ] = {}

    def post(self, peer: InstanceId, message: object) -> bool:
        """Deliver a message; see ``PeerNetwork``."""
        handler = self._on_message_by_class.get(type(message))
        if handler is not None and not self.is_cut:
            handler(OWN_ID, message)
        return not self.is_cut

    def post_all(
        self, peers: Iterable[InstanceId], message: object
    ) -> Sequence[InstanceId]:
        """Deliver a message to each peer; see ``PeerNetwork``."""
        return [peer for peer in peers if not self.post(peer, message)]

    async def async_request(
        self, peer: InstanceId, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Answer a request; see ``PeerNetwork``."""
        if self.is_cut:
            await asyncio.sleep(timeout_s)
            return Error(Failure(code=peer_codes.NO_ANSWER, detail=peer))
        return Ok(await self._on_request_by_class[type(message)](OWN_ID, message))

    def on_message(self, cls: type, handler: Callable[[InstanceId, Any], None]) -> None:
        """Register a handler; see ``PeerNetwork``."""
        self._on_message_by_class[cls] = handler

    def on_request(
        self, cls: type, handler: Callable[[InstanceId, Any], Awaitable[object]]
    ) -> None:
        """Register a handler; see ``PeerNetwork``."""
        self._on_request_by_class[cls] = handler

    def connected(self) -> frozenset[InstanceId]:
        """Return the peers, which are the instance itself."""
        return frozenset({OWN_ID})

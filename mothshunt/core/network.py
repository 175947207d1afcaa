"""Interfaces for messages between instances."""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any, Protocol, TypeVar

from expression import Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId

M = TypeVar("M")


class PeerNetwork(Protocol):
    """Exchange of typed messages between authenticated instances.

    Messages are instances of classes registered with ``util.wire.message``. A stream
    delivers them in order. When it breaks, messages not yet delivered are lost.
    """

    def post(self, peer: InstanceId, message: object) -> bool:
        """Queue a message without waiting.

        :param peer: Receiver.
        :param message: A registered message.
        :return: Whether it was queued; ``False`` if there is no stream to the peer or
            its queue is full.
        """
        ...

    def post_all(
        self, peers: Iterable[InstanceId], message: object
    ) -> Sequence[InstanceId]:
        """Queue one message for several peers without waiting; it is encoded once.

        :param peers: Receivers; those without a stream are skipped.
        :param message: A registered message.
        :return: Peers that it was not queued for; see ``post``.
        """
        ...

    async def async_request(
        self, peer: InstanceId, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request and wait for the answer.

        :param peer: Receiver.
        :param message: A registered message.
        :param timeout_s: Seconds to wait.
        :return: The answer; or code 1105 if there is no stream, so the peer has not
            received the message; or code 1106 if no answer arrived, so the peer may
            have received it.
        """
        ...

    def on_message(
        self, cls: type[M], handler: Callable[[InstanceId, M], None]
    ) -> None:
        """Register the handler for messages of a class that need no answer.

        :param cls: Registered class.
        :param handler: Called in the event loop with sender and message.
        """
        ...

    def on_request(
        self, cls: type[M], handler: Callable[[InstanceId, M], Awaitable[object]]
    ) -> None:
        """Register the handler for requests of a class, which are answered.

        :param cls: Registered class.
        :param handler: Awaited with sender and message; returns the answer.
        """
        ...

    def connected(self) -> frozenset[InstanceId]:
        """Return the peers to which a stream is open."""
        ...


class ControlConnection(Protocol):
    """Connection to whichever control instance can be reached."""

    async def async_ask(
        self, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request to one reachable control instance and wait for its answer.

        On a control instance the request is handled locally. A follower that
        receives it forwards it to the leader if necessary.

        :param message: A registered message.
        :param timeout_s: Seconds to wait.
        :return: The answer; or code 1105 if no control instance has received the
            message; or code 1106 if one may have received it.
        """
        ...

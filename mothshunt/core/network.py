"""Streams between instances as the slices use them."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol, TypeVar

from expression import Result

from mothshunt.core.codes import Failure
from mothshunt.core.types import InstanceId

M = TypeVar("M")


class PeerNetwork(Protocol):
    """Carry typed messages between authenticated instances.

    Messages are instances of classes registered with ``util.wire.message``. One
    stream keeps their order; a lost stream loses what was on its way.
    """

    def post(self, peer: InstanceId, message: object) -> bool:
        """Queue a message without waiting.

        :param peer: Receiver.
        :param message: A registered message.
        :return: ``False`` when there is no stream to the peer or its queue is full.
        """
        ...

    def post_all(self, peers: Iterable[InstanceId], message: object) -> None:
        """Queue one message for several peers without waiting; it is encoded once.

        :param peers: Receivers; those that no stream leads to are passed over.
        :param message: A registered message.
        """
        ...

    async def async_request(
        self, peer: InstanceId, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a message and wait for the answer to it.

        :param peer: Receiver.
        :param message: A registered message.
        :param timeout_s: Seconds to wait.
        :return: The answer; or code 1105 when there is no stream, so that the peer
            has not seen the message; or code 1106 when no answer came, so that the
            peer may have seen it.
        """
        ...

    def on_message(
        self, cls: type[M], handler: Callable[[InstanceId, M], None]
    ) -> None:
        """Set the handler of a class of messages that need no answer.

        :param cls: Registered class.
        :param handler: Called in the event loop with sender and message.
        """
        ...

    def on_request(
        self, cls: type[M], handler: Callable[[InstanceId, M], Awaitable[object]]
    ) -> None:
        """Set the handler of a class of messages that are answered.

        :param cls: Registered class.
        :param handler: Awaited with sender and message; returns the answer.
        """
        ...

    def connected(self) -> frozenset[InstanceId]:
        """Return the peers that a stream leads to now."""
        ...


class ControlConnection(Protocol):
    """Ask the control instances, wherever this instance's stream leads."""

    async def async_ask(
        self, message: object, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a request to one reachable control instance and wait for its answer.

        On a control instance the request is handled locally. The handler may be on
        a follower, which forwards to the leader where that is needed.

        :param message: A registered message.
        :param timeout_s: Seconds to wait.
        :return: The answer; or code 1105 when no control instance has seen the
            message; or code 1106 when one may have seen it.
        """
        ...

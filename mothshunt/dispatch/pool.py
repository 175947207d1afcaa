"""Connections to targets, kept alive per target or opened for one request."""

import asyncio
import time
import weakref
from dataclasses import dataclass

import aiohttp
from aiohttp import ClientRequest
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection

from mothshunt.dispatch.const import (
    CONNECT_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_POOLS,
    MIN_REUSE_IDLE_S,
    RETIRED_POOL_CLOSE_DELAY_S,
)
from mothshunt.helpers.bounded_answers import BoundedConnector

_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class NotConnectedError(Exception):
    """Failure to open a connection; no byte of the request was sent."""


@dataclass(slots=True)
class OpenConnection:
    """Connection for one request.

    :param connection: The connection.
    :param protocol: Its protocol, still set after the connection was released.
    :param reused: Whether an earlier request was answered on it.
    """

    connection: Connection
    protocol: ResponseHandler
    reused: bool


class DelayedReuseConnector(BoundedConnector):
    """Connector that reuses a connection only after a minimum idle time.

    A duplicate response that arrives in this time is detected before the next request
    is sent. The base class keeps the connections of an address in the order in which
    they were released and reuses the one that has been idle the longest.
    """

    async def _get(
        self, key: ConnectionKey, traces: list[aiohttp.tracing.Trace]
    ) -> Connection | None:
        idle = self._conns.get(key)
        if idle and time.monotonic() - idle[0][1] < MIN_REUSE_IDLE_S:
            return None
        return await super()._get(key, traces)


class ConnectionPools:
    """Connection pools of all targets."""

    def __init__(self) -> None:
        self._connector_by_authority: dict[str, aiohttp.TCPConnector] = {}
        self._unpooled = BoundedConnector(limit=0, force_close=True)
        self._retired: set[aiohttp.TCPConnector] = set()
        self._closing: set[asyncio.Future[None]] = set()
        self._used: weakref.WeakSet[ResponseHandler] = weakref.WeakSet()

    async def async_connect(
        self, request: ClientRequest, authority: str, *, reuse: bool
    ) -> OpenConnection:
        """Return a connection for one request.

        A kept-alive connection that received bytes while it was idle is closed: they
        would be read as the next response.

        :param request: The request.
        :param authority: Host and port of the target.
        :param reuse: Whether a kept-alive connection may be used.
        :raises NotConnectedError: No connection could be opened.
        """
        connector = self._connector(authority) if reuse else self._unpooled
        while True:
            try:
                connection = await connector.connect(request, [], _TIMEOUT)
            except (aiohttp.ClientError, OSError) as error:
                raise NotConnectedError(str(error)) from error
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                reused = reuse and protocol in self._used
                return OpenConnection(connection, protocol, reused)
            connection.close()

    def mark_used(self, protocol: ResponseHandler) -> None:
        """Record that a request was answered on a connection.

        :param protocol: Protocol of the connection.
        """
        self._used.add(protocol)

    def retire(self, authority: str) -> None:
        """Stop reusing the connections that are open to a target.

        Requests in flight on them continue.

        :param authority: Host and port of the target.
        """
        connector = self._connector_by_authority.pop(authority, None)
        if connector is None:
            return
        self._retired.add(connector)
        loop = asyncio.get_running_loop()
        loop.call_later(RETIRED_POOL_CLOSE_DELAY_S, self._close_retired, connector)

    async def async_close(self) -> None:
        """Close all connections."""
        connectors = {*self._connector_by_authority.values(), *self._retired}
        for connector in (*connectors, self._unpooled):
            await connector.close()

    def _connector(self, authority: str) -> aiohttp.TCPConnector:
        connector = self._connector_by_authority.get(authority)
        if connector is None:
            if len(self._connector_by_authority) >= MAX_POOLS:
                self.retire(next(iter(self._connector_by_authority)))
            connector = DelayedReuseConnector(limit=0, keepalive_timeout=IDLE_TIMEOUT_S)
            self._connector_by_authority[authority] = connector
        return connector

    def _close_retired(self, connector: aiohttp.TCPConnector) -> None:
        self._retired.discard(connector)
        closing = asyncio.ensure_future(connector.close())
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)

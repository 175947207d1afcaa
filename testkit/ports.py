"""TCP ports that stay reserved for as long as a test needs them."""

import contextlib
import os
import random
import socket
from pathlib import Path

HOST = "127.0.0.1"
#: Address on which a reservation is held, so that its port stays free on ``HOST``.
RESERVATION_HOST = "127.0.0.2"
LOWEST_PORT = 10_000
MAX_TRIES = 10_000
_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_DEFAULT_EPHEMERAL_START = 32_768


class PortReservations:
    """Reserve ports below the range that outgoing connections take theirs from.

    A process that is restarted needs its port again: a port from the ephemeral range
    could by then belong to any outgoing connection. A reservation is a socket bound
    to the same port of another loopback address; it ends with this process.
    """

    def __init__(self) -> None:
        self._socket_by_port: dict[int, socket.socket] = {}

    def take(self) -> int:
        """Reserve a free port and return it.

        :raises RuntimeError: When none was found.
        """
        # A source of its own: a test's seed must not make runs meet on one port.
        chance = random.Random(os.urandom(8))
        for _ in range(MAX_TRIES):
            port = chance.randrange(LOWEST_PORT, _ephemeral_start())
            if self._reserve(port):
                return port
        raise RuntimeError("no free port was found")

    def _reserve(self, port: int) -> bool:
        holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            holder.bind((RESERVATION_HOST, port))
            with contextlib.closing(socket.socket()) as trial:
                trial.bind((HOST, port))
        except OSError:
            holder.close()
            return False
        self._socket_by_port[port] = holder
        return True

    def close(self) -> None:
        """End all reservations."""
        for holder in self._socket_by_port.values():
            holder.close()
        self._socket_by_port.clear()


def _ephemeral_start() -> int:
    try:
        return int(_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError):
        return _DEFAULT_EPHEMERAL_START

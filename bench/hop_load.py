"""Load of the hop benchmark: callers that each wait for their answer."""

import asyncio
import time
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length:"


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Describe one run of load.

    :param port: TCP port that is asked.
    :param request: Bytes of each request.
    :param callers: Callers, each with one connection.
    :param seconds: Length of the run.
    """

    port: int
    request: bytes
    callers: int
    seconds: float


@dataclass(slots=True)
class Sample:
    """Hold what a run gave.

    :param latencies_s: Latency of each answer, in seconds.
    :param seconds: Length of the run.
    :param failures: Answers that were not 200.
    """

    latencies_s: list[float] = field(default_factory=list)
    seconds: float = 0.0
    failures: int = 0

    def per_second(self) -> float:
        """Return answers per second."""
        return len(self.latencies_s) / self.seconds

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the latency, in milliseconds.

        :param share: From 0 to 1.
        """
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1000


class Caller(asyncio.Protocol):
    """Send a request, wait for the whole answer, and send the next.

    :param load: The run.
    :param sample: Takes the latencies.
    :param stop_at: Monotonic time after which no request is sent, in seconds.
    """

    def __init__(self, load: Load, sample: Sample, stop_at: float) -> None:
        self._load = load
        self._sample = sample
        self._stop_at = stop_at
        self._buffer = b""
        self._sent_at = 0.0
        self._transport: asyncio.Transport | None = None
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        """Take an answer that is whole and send the next request."""
        self._buffer += data
        end = self._buffer.find(HEAD_END)
        if end < 0:
            return
        head = self._buffer[:end].lower()
        start = head.find(LENGTH) + len(LENGTH)
        length = int(head[start:].split(b"\r\n", 1)[0])
        if len(self._buffer) < end + len(HEAD_END) + length:
            return
        self._buffer = b""
        now = time.monotonic()
        self._sample.latencies_s.append(now - self._sent_at)
        if b" 200 " not in head[:16]:
            self._sample.failures += 1
        if now < self._stop_at:
            self._send()
            return
        assert self._transport is not None
        self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of this caller."""
        if not self.done.done():
            self.done.set_result(None)

    def _send(self) -> None:
        assert self._transport is not None
        self._sent_at = time.monotonic()
        self._transport.write(self._load.request)


async def async_run(load: Load) -> Sample:
    """Run load and return its sample.

    :param load: The run.
    """
    loop = asyncio.get_running_loop()
    sample = Sample()
    started_at = time.monotonic()
    stop_at = started_at + load.seconds
    callers = []
    for _ in range(load.callers):
        _, caller = await loop.create_connection(
            lambda: Caller(load, sample, stop_at), "127.0.0.1", load.port
        )
        callers.append(caller)
    await asyncio.gather(*(caller.done for caller in callers))
    sample.seconds = time.monotonic() - started_at
    return sample

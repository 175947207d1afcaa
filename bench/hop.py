"""Compare an entry instance with a bare aiohttp pass-through on the same load.

Real processes on loopback: a target, the dispatch slice with a fixed contract, and
a pass-through that decides nothing. The rounds of the three take turns, so that
whatever else the machine does meets all of them.
"""

import asyncio
import statistics
import subprocess
import sys
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any

from bench.hop_load import Load, Sample, async_run

PATH = "/v1/services/rackhaven/cabinet-status/cabinets/c-17?full=1"
HEADERS = "Host: 127.0.0.1\r\nUser-Agent: bench\r\nAccept: application/json\r\n"
READ = f"GET {PATH} HTTP/1.1\r\n{HEADERS}\r\n".encode()
ORDER = (
    f"POST {PATH} HTTP/1.1\r\n{HEADERS}Content-Length: 100\r\n\r\n".encode()
    + b"o" * 100
)
CALLERS = 16
ROUNDS = 9
QUICK_ROUNDS = 7
ROUND_S = 2.0
QUICK_ROUND_S = 0.5
WARM_UP_S = 0.3
STOP_TIMEOUT_S = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Ports:
    """Hold the TCP ports of what is compared.

    :param direct: The target itself.
    :param pass_through: The bare pass-through.
    :param entry: The entry instance.
    """

    direct: int
    pass_through: int
    entry: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Round:
    """Hold the samples of one round, taken one after the other.

    :param direct: Without anything between.
    :param pass_through: Through the bare pass-through.
    :param entry: Through the entry instance.
    """

    direct: Sample
    pass_through: Sample
    entry: Sample


def run(quick: bool) -> dict[str, Any]:
    """Run the benchmark.

    :param quick: Whether to run short.
    :return: Ratios of the entry to the pass-through, and the raw figures.
    """
    rounds = QUICK_ROUNDS if quick else ROUNDS
    seconds = QUICK_ROUND_S if quick else ROUND_S
    with ExitStack() as stack:
        target = stack.enter_context(_process("bench.hop_target"))
        ports = Ports(
            direct=target,
            pass_through=stack.enter_context(
                _process("bench.hop_pass_through", str(target))
            ),
            entry=stack.enter_context(_process("bench.hop_entry", str(target))),
        )
        return asyncio.run(_async_compare(ports, rounds, seconds))


async def _async_compare(ports: Ports, rounds: int, seconds: float) -> dict[str, Any]:
    busy = await _async_rounds(ports, READ, CALLERS, rounds, seconds)
    single = await _async_rounds(ports, READ, 1, rounds, seconds)
    orders = await _async_rounds(ports, ORDER, CALLERS, rounds, seconds / 2)
    return {
        "throughput_ratio": _throughput_ratio(busy),
        "added_p50_ratio": _added_ratio(single, 0.5),
        "added_p99_ratio": _added_ratio(single, 0.99),
        "order_throughput_ratio": _throughput_ratio(orders),
        "callers": CALLERS,
        "rounds": rounds,
        "reads": _figures(busy),
        "single_caller_reads": _figures(single),
        "orders": _figures(orders),
    }


async def _async_rounds(
    ports: Ports, request: bytes, callers: int, rounds: int, seconds: float
) -> list[Round]:
    """Run rounds in which the three take turns; the first one only warms up."""

    async def run_one(port: int, length_s: float) -> Sample:
        load = Load(port=port, request=request, callers=callers, seconds=length_s)
        sample = await async_run(load)
        if sample.failures:
            raise RuntimeError(f"{sample.failures} answers were not 200")
        return sample

    done = []
    for number in range(rounds + 1):
        length_s = seconds if number else WARM_UP_S
        done.append(
            Round(
                direct=await run_one(ports.direct, length_s),
                pass_through=await run_one(ports.pass_through, length_s),
                entry=await run_one(ports.entry, length_s),
            )
        )
    return done[1:]


def _throughput_ratio(rounds: list[Round]) -> float:
    """Return the median of the rounds' own ratios."""
    return _median(r.entry.per_second() / r.pass_through.per_second() for r in rounds)


def _added_ratio(rounds: list[Round], share: float) -> float:
    """Return the median of the rounds' own ratios of the latency that is added."""
    return _median(
        (r.entry.quantile_ms(share) - r.direct.quantile_ms(share))
        / (r.pass_through.quantile_ms(share) - r.direct.quantile_ms(share))
        for r in rounds
    )


def _figures(rounds: list[Round]) -> dict[str, dict[str, float]]:
    return {
        "direct": _sample_figures([r.direct for r in rounds]),
        "pass_through": _sample_figures([r.pass_through for r in rounds]),
        "entry": _sample_figures([r.entry for r in rounds]),
    }


def _sample_figures(samples: list[Sample]) -> dict[str, float]:
    return {
        "per_s": _median(s.per_second() for s in samples),
        "p50_ms": _median(s.quantile_ms(0.5) for s in samples),
        "p99_ms": _median(s.quantile_ms(0.99) for s in samples),
    }


def _median(values: Iterable[float]) -> float:
    return round(statistics.median(values), 4)


@contextmanager
def _process(module: str, *arguments: str) -> Iterator[int]:
    """Run a module as a process; give the port that it prints."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    try:
        yield int(process.stdout.readline())
    finally:
        process.terminate()
        process.wait(STOP_TIMEOUT_S)
        process.stdout.close()

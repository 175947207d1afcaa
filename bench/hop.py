"""Compare an entry instance with a bare aiohttp pass-through on the same load.

Real processes on loopback: a target, the dispatch slice with a fixed contract, and
a pass-through that decides nothing. The rounds of the three take turns, so that
whatever else the machine does meets all of them.
"""

import asyncio
import statistics
import subprocess
import sys
from collections.abc import Iterator
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
QUICK_ROUNDS = 3
ROUND_S = 2.0
QUICK_ROUND_S = 1.0
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
        "throughput_ratio": _ratio(
            busy["entry"]["per_s"], busy["pass_through"]["per_s"]
        ),
        "added_p50_ratio": _added(single, "p50_ms"),
        "added_p99_ratio": _added(single, "p99_ms"),
        "order_throughput_ratio": _ratio(
            orders["entry"]["per_s"], orders["pass_through"]["per_s"]
        ),
        "callers": CALLERS,
        "rounds": rounds,
        "reads": busy,
        "single_caller_reads": single,
        "orders": orders,
    }


async def _async_rounds(
    ports: Ports, request: bytes, callers: int, rounds: int, seconds: float
) -> dict[str, dict[str, float]]:
    port_by_name = {
        "direct": ports.direct,
        "pass_through": ports.pass_through,
        "entry": ports.entry,
    }
    samples_by_name: dict[str, list[Sample]] = {name: [] for name in port_by_name}
    for number in range(rounds + 1):
        for name, port in port_by_name.items():
            length_s = seconds if number else WARM_UP_S
            load = Load(port=port, request=request, callers=callers, seconds=length_s)
            sample = await async_run(load)
            if number:
                samples_by_name[name].append(sample)
    return {name: _figures(samples) for name, samples in samples_by_name.items()}


def _figures(samples: list[Sample]) -> dict[str, float]:
    failures = sum(sample.failures for sample in samples)
    if failures:
        raise RuntimeError(f"{failures} answers were not 200")
    return {
        "per_s": round(statistics.median(s.per_second() for s in samples), 1),
        "p50_ms": round(statistics.median(s.quantile_ms(0.5) for s in samples), 4),
        "p99_ms": round(statistics.median(s.quantile_ms(0.99) for s in samples), 4),
    }


def _added(figures: dict[str, dict[str, float]], name: str) -> float:
    direct = figures["direct"][name]
    return _ratio(
        figures["entry"][name] - direct, figures["pass_through"][name] - direct
    )


def _ratio(value: float, baseline: float) -> float:
    return round(value / baseline, 3)


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

"""Processor time of a look-up against entry instances and blocks of clients.

``http_ratio`` is the processor time of a bare aiohttp handler that returns the same
bytes over that of a look-up; ``http_ratio_new_queries`` is the same when every
query is one that has not come before, of a group that has.
"""

import contextlib
import json
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from http.client import HTTPConnection
from typing import Any

from bench.steering_profiles import RACKHAVEN, REGIONS, ZONES
from mothshunt.core.types import (
    AvailabilityZoneId,
    Incarnation,
    InstanceId,
    InstanceState,
    Role,
)
from mothshunt.drain.model import DrainSet
from mothshunt.lookup.answers import AnswerCache
from mothshunt.lookup.state import EntryTable, client_block, group_of
from mothshunt.membership.model import EntryPresence, InstanceRecord

ENTRY_COUNTS = (10, 100, 890)
BLOCK_COUNTS = (1_000, 10_000, 100_000, 530_000)
ROUND_REQUESTS = 200
ROUNDS = 60
#: Rounds in which nearly every group of clients is asked for once.
WARM_UP_ROUNDS = 100
QUICK_ROUNDS = 20
MICROSECONDS = 1_000_000


def run(*, quick: bool) -> dict[str, Any]:
    """Measure the deciding function and the handler.

    :param quick: Whether to take fewer rounds.
    """
    rounds = QUICK_ROUNDS if quick else ROUNDS
    return {
        "first_us_by_entries": {n: _first_us(n, 2_000) for n in ENTRY_COUNTS},
        "us_by_blocks": {n: _kept_us(10, n) for n in BLOCK_COUNTS},
        "us_by_blocks_890_entries": {n: _kept_us(890, n) for n in BLOCK_COUNTS},
        **_http(rounds),
    }


def _entries(count: int) -> list[EntryPresence]:
    return [
        EntryPresence(
            record=_record(position),
            incarnation=Incarnation(1),
            state=InstanceState.READY,
            load=0,
        )
        for position in range(count)
    ]


def _record(position: int) -> InstanceRecord:
    region = REGIONS[position % len(REGIONS)]
    zone = ZONES[position // len(REGIONS) % len(ZONES)]
    return InstanceRecord(
        id=InstanceId(f"entry-{position}"),
        region=region,
        availability_zone=AvailabilityZoneId(f"{region}-{zone}"),
        roles=(Role.ENTRY,),
        traffic_host="127.0.0.1",
        traffic_port=1,
        admin_host="127.0.0.1",
        admin_port=1,
        peer_host="127.0.0.1",
        peer_port=1,
        seat=position // len(REGIONS),
    )


def _table(entries: int) -> EntryTable:
    region = REGIONS[0]
    table = EntryTable(region, AvailabilityZoneId(f"{region}-{ZONES[0]}"))
    table.update(_entries(entries), DrainSet())
    return table


def _first_us(entries: int, groups: int) -> float:
    """Return the time of a look-up whose group was not asked for before."""
    bodies = AnswerCache(_table(entries))
    contract = RACKHAVEN.contract()
    started = time.process_time()
    for group in range(groups):
        bodies.body(contract, group)
    return round((time.process_time() - started) / groups * MICROSECONDS, 2)


def _kept_us(entries: int, blocks: int) -> float:
    """Return the mean time of a look-up over a number of blocks, asked once each."""
    bodies = AnswerCache(_table(entries))
    contract = RACKHAVEN.contract()
    addresses = list(_addresses(blocks))
    started = time.process_time()
    for address in addresses:
        block = client_block(address)
        assert block is not None
        bodies.body(contract, group_of(block))
    return round((time.process_time() - started) / blocks * MICROSECONDS, 2)


def _addresses(blocks: int) -> Iterator[str]:
    for number in range(blocks):
        yield f"{10 + (number >> 16)}.{number >> 8 & 255}.{number & 255}.7"


def _http(rounds: int) -> dict[str, float]:
    """Compare servers in turns, so that both meet the same load of the machine."""
    with contextlib.ExitStack() as stack:
        bare = stack.enter_context(_server("bare"))
        lookup = stack.enter_context(_server("lookup"))
        known = _ratios(bare, lookup, rounds, distinct=False)
        for number in range(WARM_UP_ROUNDS):
            _load(lookup, WARM_UP_ROUNDS - number, distinct=True)
        new = _ratios(bare, lookup, rounds, distinct=True)
    return {
        "http_ratio": round(statistics.median(known), 3),
        "http_ratio_new_queries": round(statistics.median(new), 3),
    }


def _ratios(
    bare: HTTPConnection, lookup: HTTPConnection, rounds: int, *, distinct: bool
) -> list[float]:
    ratios = []
    for number in range(WARM_UP_ROUNDS, WARM_UP_ROUNDS + rounds):
        bare_s = _load(bare, number, distinct=distinct)
        lookup_s = _load(lookup, number, distinct=distinct)
        ratios.append(bare_s / lookup_s)
    return ratios


@contextlib.contextmanager
def _server(kind: str) -> Iterator[HTTPConnection]:
    command = [sys.executable, "-m", "bench.lookup_server", kind]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        connection = HTTPConnection("127.0.0.1", int(process.stdout.readline()))
        yield connection
        connection.close()
        process.communicate()


def _load(connection: HTTPConnection, number: int, *, distinct: bool) -> float:
    """Return the processor time of a server for one round, in seconds."""
    started = _cpu(connection)
    for request in range(ROUND_REQUESTS):
        block = number * ROUND_REQUESTS + request if distinct else request
        client = f"10.{block >> 8 & 255}.{block & 255}.9"
        _get(
            connection,
            f"/v1/lookup?customer={RACKHAVEN.name}"
            f"&service={RACKHAVEN.services[0].name}&client={client}",
        )
    return _cpu(connection) - started


def _cpu(connection: HTTPConnection) -> float:
    return float(json.loads(_get(connection, "/cpu")))


def _get(connection: HTTPConnection, path: str) -> bytes:
    connection.request("GET", path)
    response = connection.getresponse()
    body = response.read()
    if response.status != 200:
        raise RuntimeError(f"{path}: {response.status} {body!r}")
    return body

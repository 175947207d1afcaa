"""Memory and processor time of the tables that each instance holds."""

import gc
import time
import tracemalloc
from collections.abc import Callable

from bench.slopes import samples
from bench.slopes.fit import Point, fit
from mothshunt.configuration.assemble import ConfigurationAssembler
from mothshunt.configuration.store import ItemStore
from mothshunt.discovery.state import TargetTable
from mothshunt.ledger.state import LedgerState
from mothshunt.membership.state import PresenceTable

MICROSECONDS = 1_000_000


def measure(quick: bool) -> dict[str, object]:
    """Return the slopes of memory and processor time of each table.

    :param quick: Whether to measure at smaller sizes.
    """
    sizes = (100, 300, 1_000) if quick else (300, 1_000, 3_000, 10_000)
    return {
        "memory_per_target": _memory(targets, sizes),
        "memory_per_instance": _memory(instances, sizes),
        "memory_per_contract": _memory(contracts, sizes),
        "memory_per_key": _memory(keys, sizes),
        "memory_per_presence_row": _memory(presence, sizes),
        "cpu_per_target_row": _cpu(targets, sizes),
        "cpu_per_presence_row": _cpu(presence, sizes),
        "cpu_per_key": _cpu(keys, sizes),
        "cpu_per_change_by_items": _change(sizes),
    }


def targets(count: int) -> object:
    """Return a table of targets."""
    table = TargetTable()
    for number in range(count):
        table.apply_row(samples.target_row(number), 0.0)
    return table


def instances(count: int) -> object:
    """Return a configuration of instances, as items and decoded."""
    store = ItemStore()
    for number in range(count):
        store.put(samples.instance_item(number))
    return store, ConfigurationAssembler().assemble(store)


def contracts(count: int) -> object:
    """Return a configuration of contracts, as items and decoded."""
    store = ItemStore()
    for number in range(count // 10):
        store.put(samples.contract_item(number))
    return store, ConfigurationAssembler().assemble(store)


def keys(count: int) -> object:
    """Return a ledger of answered keys."""
    ledger = LedgerState()
    for number in range(count):
        ledger.claim(number, samples.claim(number))
        ledger.record(samples.record(number))
    return ledger


def presence(count: int) -> object:
    """Return a table of presence rows."""
    table = PresenceTable(own_id=samples.instance_id(0))
    for number in range(count):
        table.merge_row(samples.presence_row(number), samples.instance_id(0))
    table.publish(0.0)
    return table


def _memory(build: Callable[[int], object], sizes: tuple[int, ...]) -> object:
    points = []
    # Schemas are made at the first use of a class, and stay.
    build(20)
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = build(size)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append(Point(size=_units(build, size), value=held))
        del kept
    return fit(points).document("bytes")


def _cpu(build: Callable[[int], object], sizes: tuple[int, ...]) -> object:
    points = []
    build(1)
    for size in sizes:
        began = time.process_time()
        build(size)
        spent = time.process_time() - began
        points.append(Point(size=size, value=spent * MICROSECONDS))
    return fit(points).document("microseconds")


def _change(sizes: tuple[int, ...]) -> object:
    """Measure one change put in force, against the items that are held."""
    points = []
    for size in sizes:
        store = ItemStore()
        for number in range(size):
            store.put(samples.instance_item(number))
        decoder = ConfigurationAssembler()
        decoder.assemble(store)
        began = time.process_time()
        for round_number in range(10):
            item = samples.instance_item(0, revision=size + 1 + round_number)
            store.put(item)
            store.changed_since(size + round_number)
            decoder.assemble(store)
        spent = (time.process_time() - began) / 10
        points.append(Point(size=size, value=spent * MICROSECONDS))
    return fit(points).document("microseconds per change and item held")


def _units(build: Callable[[int], object], size: int) -> int:
    return size // 10 if build is contracts else size

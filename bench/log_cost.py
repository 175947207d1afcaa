"""Processor time of log lines, on and off, with a reader and without one."""

import logging as std_logging
import os
import threading
import time
from typing import Any

from absl import logging

from mothshunt.core.types import (
    InstanceId,
    RequestId,
    Revision,
    RouteName,
    ServiceName,
    TargetId,
)
from mothshunt.forwarding import const
from mothshunt.forwarding.log_events import Answered
from mothshunt.helpers import log
from mothshunt.helpers.bounded_stream import BoundedStream

LINES = 40_000
QUICK_LINES = 8_000
#: Lines on requests that an entry writes in a second at most.
MAX_LINES_PER_S = (
    const.MAX_FAILURE_LINES_PER_S
    + const.MAX_LATE_LINES_PER_S
    + const.MAX_TIMELY_LINES_PER_S
)


def run(*, quick: bool) -> dict[str, Any]:
    """Measure what a line costs.

    :param quick: Whether to write fewer lines.
    :return: Microseconds of processor time a line, and the part of a core that the
        most lines of a second take.
    """
    lines = QUICK_LINES if quick else LINES
    reading, writing = os.pipe()
    dropped = 0

    def count(number: int) -> None:
        nonlocal dropped
        dropped += number

    log.set_up(InstanceId("bench"), "info", BoundedStream(writing, count))
    off_us = _measure(lines, std_logging.ERROR)
    without_reader_us = _measure(lines, std_logging.INFO)
    reader = threading.Thread(target=_read, args=(reading,), daemon=True)
    reader.start()
    dropped_before = dropped
    with_reader_us = _measure(lines, std_logging.INFO)
    result = {
        "lines": lines,
        "off_us": round(off_us, 2),
        "without_reader_us": round(without_reader_us, 2),
        "with_reader_us": round(with_reader_us, 2),
        "dropped_without_reader": dropped_before,
        "core_part_at_most": round(with_reader_us * MAX_LINES_PER_S / 1e6, 5),
    }
    print(result)
    return result


def _measure(lines: int, level: int) -> float:
    """Return the processor time of this thread for a line, in microseconds."""
    logging.get_absl_logger().setLevel(level)
    began = time.thread_time()
    for number in range(lines):
        log.write(
            Answered(
                request_id=RequestId(f"request-{number}"),
                route=RouteName("checks"),
                service=ServiceName("stock"),
                status=200,
                took_ms=93,
                is_late=False,
                attempts=1,
                target=TargetId("stock-7"),
                ring="all-0",
                load=2.0,
                known=True,
                expected_ms=85,
                revision=Revision(7),
            )
        )
    return (time.thread_time() - began) / lines * 1e6


def _read(descriptor: int) -> None:
    while os.read(descriptor, 65536):
        pass

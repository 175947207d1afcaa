"""Requests that are sent again under their idempotency key."""

import time
from collections.abc import Callable

from mothshunt.ledger.codes import IN_PROGRESS
from testkit.request import Result

#: Longest time until a first answer is kept, in seconds: it is one change of the
#: replicated log, and the brief has changes in force within this time.
ANSWER_KEPT_TARGET_S = 5.0


def send_until_kept(
    send: Callable[[], Result],
    now: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
) -> Result:
    """Send a key again until its first answer is kept, and return the last result.

    The answer is recorded after the first caller has it, so a repeat that comes sooner
    is told that the request is in progress, and when to come back.

    :param send: Sends the request once.
    :param now: Monotonic time, in seconds.
    :param sleep: Waits for a time in seconds.
    """
    give_up_at = now() + ANSWER_KEPT_TARGET_S
    while True:
        result = send()
        pause_s = result.retry_after_s
        if result.code_name != IN_PROGRESS.name or pause_s is None:
            return result
        if now() + pause_s > give_up_at:
            return result
        sleep(pause_s)

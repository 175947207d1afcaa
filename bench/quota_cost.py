"""Messages, bytes and processor time that quotas cost a request; run by hand.

    python -m bench.quota_cost [SECONDS]

Simulates 80 entry instances, 5 control instances and 82 workspaces with 840 requests a
second in virtual time, each workspace at 1/1.6 of its quota, in waves by region, with
the real limiter, token service and messages. Processor time is that of entry and
control instances together, and includes the simulated network; the figures without
quotas show what of it the simulation takes.
"""

import sys
import time

from tests.support.quota_world import QuotaWorld, workspace

ENTRIES = 80
LARGE = (224, 120, 80, 60)
SMALL = 78
TOTAL_PER_S = 840
QUOTA_BY_USE = 1.6


def main() -> None:
    """Print the figures without and with quotas."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 15.0
    small_per_s = (TOTAL_PER_S - sum(LARGE)) / SMALL
    rates = [*LARGE, *(small_per_s for _ in range(SMALL))]
    for factor in (0.0, QUOTA_BY_USE):
        quotas = [
            workspace(f"w{n}", rate * factor, rate * factor)
            for n, rate in enumerate(rates)
        ]
        world = QuotaWorld(ENTRIES, quotas)
        world.start()
        for number, rate in enumerate(rates):
            callers = max(3, round(rate / 2))
            world.start_callers(f"w{number}", callers, rate / callers, seconds)
        began = time.process_time()
        world.pass_s(seconds + 1)
        spent_s = time.process_time() - began
        requests = world.counts["requests"]
        waits_s = sorted(world.waits_s)
        print(
            f"quotas {'on' if factor else 'off'}: {requests} requests,"
            f" {world.counts['messages'] / requests:.2f} messages and"
            f" {world.bytes / requests:.0f} bytes each,"
            f" {spent_s / requests * 1e6:.0f} us each;"
            f" waits p50 {waits_s[requests // 2] * 1000:.1f} ms,"
            f" p95 {waits_s[requests * 95 // 100] * 1000:.1f} ms,"
            f" p99 {waits_s[requests * 99 // 100] * 1000:.1f} ms;"
            f" rejected {len(world.rejections)},"
            f" below the quota {len(world.wrongly_rejected)}"
        )
        world.close()


if __name__ == "__main__":
    main()

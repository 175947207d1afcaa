"""Steps for the retry budget under changing load."""

from bisect import bisect_left
from random import Random

from behave import then

from mothshunt.forwarding.retry import RetryBudget

RATIO, WINDOW_S, STEP_S = 0.2, 10.0, 0.05
LENGTH_S = 45.0


def simulate(random: Random, rates, slack: float):
    """Simulate requests and retries; return the times of both.

    :param rates: Returns the requests per second of each entry instance at a time.
    """
    entries = len(rates(0.0))
    budgets = [RetryBudget(RATIO, slack, WINDOW_S) for _ in range(entries)]
    request_times, retry_times = [], []
    retry_probability = random.choice((0.3, 0.7, 1.0))
    # Targets may start rejecting requests at any time.
    retries_from_s = random.choice((0.0, random.uniform(8.0, 36.0)))
    for number in range(round(LENGTH_S / STEP_S)):
        now = number * STEP_S
        for budget, rate in zip(budgets, rates(now), strict=True):
            for _ in range(arrival_count(random, rate * STEP_S)):
                budget.count_request("s", now)
                request_times.append(now)
                is_retried = (
                    now >= retries_from_s and random.random() < retry_probability
                )
                while is_retried and budget.take("s", 1 / entries, now):
                    retry_times.append(now)
    return request_times, retry_times


def arrival_count(random: Random, mean: float) -> int:
    return int(mean) + (random.random() < mean % 1.0)


def largest_budget_use(request_times, retry_times, slack: float) -> float:
    """Return the largest fraction of the budget that was used in any window."""

    def count(times, since, until):
        return bisect_left(times, until) - bisect_left(times, since)

    worst = 0.0
    for start in sorted(set(retry_times)):
        used = count(retry_times, start, start + WINDOW_S)
        requests = max(
            count(request_times, start - back, start - back + WINDOW_S)
            for back in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        worst = max(worst, used / (RATIO * requests + slack))
    return worst


def bursts(random: Random):
    base = random.uniform(2, 30)
    entries = random.randint(1, 12)
    begin, length = random.uniform(8, 22), random.uniform(3, 14)
    factor = random.uniform(2, 12)

    def rates(now):
        is_burst = begin <= now < begin + length
        return [base * (factor if is_burst else 1.0)] * entries

    return rates


def moves(random: Random):
    base = random.uniform(5, 60)
    entries = random.randint(2, 12)
    at = random.uniform(12, 25)
    gone = random.randint(1, entries - 1)

    def rates(now):
        if now < at:
            return [base] * gone + [0.0] * (entries - gone)
        return [0.0] * gone + [base * gone / (entries - gone)] * (entries - gone)

    return rates


def keep_budget(count, make_rates):
    worst = 0.0
    for seed in range(count):
        random = Random(seed)
        slack = random.uniform(0, 60)
        request_times, retry_times = simulate(random, make_rates(random), slack)
        used = largest_budget_use(request_times, retry_times, slack)
        assert used <= 1.0, (seed, used)
        worst = max(worst, used)
    print(f"worst: {worst:.2f} of the budget")
    # A load that hardly uses the budget would not test it.
    assert worst > 0.7, worst


@then(
    "the budget is kept in every window of {count:d} random bursts"
    " at 1 to 12 entry instances"
)
def bursts_keep(context, count):
    keep_budget(count, bursts)


@then(
    "the budget is kept in every window of {count:d} random moves of callers"
    " among 2 to 12 entry instances"
)
def moves_keep(context, count):
    keep_budget(count, moves)


@then(
    "at {rate:d} requests per second for {seconds:d} s, the budget allows a retry"
    " of every eighth request"
)
def steady(context, rate, seconds):
    budget = RetryBudget(RATIO, 10.0, WINDOW_S)
    for number in range(rate * seconds):
        now = number / rate
        budget.count_request("s", now)
        if number % 8 == 7:
            assert budget.take("s", 1.0, now), now

"""Days drawn from a seed, written as the users' bench reads them."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from testkit.days.kinds import Kind

#: Time of a day in which troubles begin, in seconds from the start of traffic.
BEGINS_S = (2.0, 16.0)
#: Length of a trouble, in seconds; below and above the times after which instances take
#: each other for lost.
LENGTH_S = (1.0, 8.0)
#: Part of the things that fit which a trouble strikes.
SHARE = (0.15, 0.6)
#: Part of the troubles that come with one of their variants.
VARIANT_PART = 0.5
#: A trouble that is to overlap another begins within this part of its length.
OVERLAP_PART = 0.7


@dataclass(frozen=True, kw_only=True, slots=True)
class Trouble:
    """Hold one trouble of a day.

    :param kind: Name of its kind.
    :param at_s: When it begins, in seconds from the start of traffic.
    :param for_s: How long it lasts, in seconds.
    :param share: Part of the things that fit which it strikes.
    :param how: Its variant; empty for none.
    """

    kind: str
    at_s: float
    for_s: float
    share: float
    how: str = ""

    def overlaps(self, other: "Trouble") -> bool:
        """Tell whether both hold at some time."""
        return (
            self.at_s < other.at_s + other.for_s and other.at_s < self.at_s + self.for_s
        )


def draw_day(kinds: Sequence[Kind], seed: int) -> tuple[Trouble, ...]:
    """Draw one trouble of each kind; each overlaps the one before it.

    :param kinds: The kinds, in the order in which they begin.
    :param seed: Seed.
    """
    random = Random(seed)
    troubles: list[Trouble] = []
    begins_s = random.uniform(*BEGINS_S)
    for kind in kinds:
        how = ""
        if kind.variants and random.random() < VARIANT_PART:
            how = random.choice(kind.variants)
        length_s = round(random.uniform(*LENGTH_S), 1)
        trouble = Trouble(
            kind=kind.name,
            at_s=round(begins_s, 1),
            for_s=length_s,
            share=round(random.uniform(*SHARE), 2),
            how=how,
        )
        troubles.append(trouble)
        begins_s += random.uniform(0.0, length_s * OVERLAP_PART)
    return tuple(troubles)


def day_text(name: str, seed: int, troubles: Sequence[Trouble]) -> str:
    """Return a day as a file of the bench.

    :param name: Name of the day.
    :param seed: Seed of what the day itself draws.
    :param troubles: What happens.
    """
    lines = [
        f"# Drawn by script/days draw from the seed {seed}.",
        "[[day]]",
        f'name = "{name}"',
        'slot = "trouble"',
        f"seed = {seed}",
        "faults = [",
    ]
    for trouble in troubles:
        how = f', how = "{trouble.how}"' if trouble.how else ""
        lines.append(
            f'  {{ at = {trouble.at_s}, kind = "{trouble.kind}", '
            f"for_s = {trouble.for_s}, share = {trouble.share}{how} }},"
        )
    return "\n".join([*lines, "]", ""])

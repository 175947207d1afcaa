"""What a soak does and when, drawn from a seed."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

#: Time for which an instance that had a fault is not yet relied on, in seconds: a
#: control instance that comes back is a voter again within it.
CATCH_UP_S = 5.0
#: Pause between two steps of a series, in seconds; series overlap.
FAULT_PAUSE_S = (0.3, 2.5)
CHANGE_PAUSE_S = (0.5, 3.0)
#: Length of a fault, in seconds; below and above the times after which instances take
#: each other for lost.
FAULT_LENGTH_S = (0.2, 4.0)


#: Targets of each service that name rate limits, and among how many.
LIMITED_TARGETS = 2
LIMITED_TARGETS_OF = 6
#: Rate limits that they name, in requests a second; a target gets some twenty.
LIMIT_PER_S = (7.0, 15.0)
#: Part of the changes of a limit that name one; the others withdraw it.
NAMED_PART = 0.75
#: Time of the first limit of a target, and between two changes, in seconds; below and
#: above the time from which a limit binds.
LIMIT_BEGIN_S = (0.0, 2.0)
LIMIT_LENGTH_S = (1.0, 9.0)

#: Part of the soaks in which control instances have faults; in the others the shorter
#: bounds hold, which apply while all of them are well.
CONTROL_FAULTS_PART = 2 / 3


class FaultKind(Enum):
    """What is done to an instance from outside."""

    #: It is killed, and started again after the length of the fault.
    KILL = "kill"
    #: It is paused for the length of the fault.
    FREEZE = "freeze"
    #: It is asked to stop, and started again once it has ended.
    TERMINATE = "terminate"
    #: It is killed, loses its folder, and starts again.
    WIPE = "wipe"
    #: Its disk takes no more bytes for the length of the fault.
    FULL_DISK = "full_disk"
    #: Nothing passes between it and the control instances.
    CUT = "cut"
    #: Nothing passes in one direction.
    CUT_TO = "cut_to"
    CUT_FROM = "cut_from"
    #: Its open streams go silent for good, new ones pass.
    SILENCE = "silence"
    #: Its open streams are reset.
    RESET = "reset"
    #: Its streams take longer for the length of the fault.
    DELAY = "delay"


ENTRY_FAULTS = tuple(
    k for k in FaultKind if k not in (FaultKind.WIPE, FaultKind.FULL_DISK)
)
CONTROL_FAULTS = tuple(FaultKind)


class ChangeKind(Enum):
    """What operators and targets ask for."""

    #: All routes go to the other service, under the next version.
    MOVE_ROUTES = "move_routes"
    #: A target leaves; it comes back as another incarnation.
    RETIRE_TARGET = "retire_target"
    #: An availability zone is evacuated and taken back.
    EVACUATE = "evacuate"


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """Say what happens to which instance.

    :param at_s: Time since the start of the soak, in seconds.
    :param kind: What happens.
    :param instance: Name of the instance.
    :param length_s: How long it lasts, in seconds.
    """

    at_s: float
    kind: FaultKind
    instance: str
    length_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """Say what is asked for.

    :param at_s: Time since the start of the soak, in seconds.
    :param kind: What is asked for.
    :param number: Chooses the target or zone.
    """

    at_s: float
    kind: ChangeKind
    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitStep:
    """Say which targets name which rate limit.

    :param at_s: Time since the start of the soak, in seconds.
    :param number: Chooses the target of each service.
    :param per_s: The limit, in requests a second; ``None`` for none.
    """

    at_s: float
    number: int
    per_s: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """Hold the steps of a soak, in order of their time.

    :param faults: Faults of entry and control instances. One entry instance has none,
        so that bounds in time are held against what it sends; those of one control
        instance and of another never overlap, so that a majority lives.
    :param changes: What operators and targets ask for.
    :param limits: Rate limits that targets name.
    """

    faults: tuple[Fault, ...]
    changes: tuple[Change, ...]
    limits: tuple[LimitStep, ...] = ()

    @classmethod
    def from_seed(
        cls, seed: int, seconds: float, entries: Sequence[str], control: Sequence[str]
    ) -> "Plan":
        """Draw a plan.

        :param seed: Seed.
        :param seconds: Length of the soak, in seconds.
        :param entries: Names of the entry instances.
        :param control: Names of the control instances.
        """
        random = Random(seed)
        spared = random.choice(entries)
        faults = _entry_faults(random, seconds, [e for e in entries if e != spared])
        if random.random() < CONTROL_FAULTS_PART:
            faults += _control_faults(random, seconds, control)
        return cls(
            faults=tuple(sorted(faults, key=lambda fault: fault.at_s)),
            changes=tuple(_changes(random, seconds)),
            limits=tuple(_limit_steps(Random(f"{seed}/limits"), seconds)),
        )


def _entry_faults(
    random: Random, seconds: float, entries: Sequence[str]
) -> list[Fault]:
    faults = []
    at_s = 0.0
    while (at_s := at_s + random.uniform(*FAULT_PAUSE_S)) < seconds:
        kind = random.choice(ENTRY_FAULTS)
        length_s = random.uniform(*FAULT_LENGTH_S)
        name = random.choice(entries)
        faults.append(Fault(at_s=at_s, kind=kind, instance=name, length_s=length_s))
    return faults


def _control_faults(
    random: Random, seconds: float, control: Sequence[str]
) -> list[Fault]:
    faults = []
    at_s = random.uniform(*FAULT_PAUSE_S)
    while at_s < seconds:
        name = random.choice(control)
        # A short series at one instance, then time to come back before the next.
        for _ in range(random.randint(1, 3)):
            length_s = random.uniform(*FAULT_LENGTH_S)
            kind = random.choice(CONTROL_FAULTS)
            faults.append(Fault(at_s=at_s, kind=kind, instance=name, length_s=length_s))
            at_s += random.uniform(0.1, length_s)
        at_s += FAULT_LENGTH_S[1] + CATCH_UP_S
    return faults


def _changes(random: Random, seconds: float) -> list[Change]:
    changes: list[Change] = []
    # Each kind comes once before any comes again.
    first = random.sample(list(ChangeKind), len(ChangeKind))
    at_s = 0.0
    while (at_s := at_s + random.uniform(*CHANGE_PAUSE_S)) < seconds:
        kind = first.pop() if first else random.choice(list(ChangeKind))
        changes.append(Change(at_s=at_s, kind=kind, number=random.randrange(1000)))
    return changes


def _limit_steps(random: Random, seconds: float) -> list[LimitStep]:
    steps = []
    for number in random.sample(range(LIMITED_TARGETS_OF), LIMITED_TARGETS):
        at_s = random.uniform(*LIMIT_BEGIN_S)
        while at_s < seconds:
            is_named = random.random() < NAMED_PART
            per_s = round(random.uniform(*LIMIT_PER_S), 1) if is_named else None
            steps.append(LimitStep(at_s=at_s, number=number, per_s=per_s))
            at_s += random.uniform(*LIMIT_LENGTH_S)
    return sorted(steps, key=lambda step: step.at_s)

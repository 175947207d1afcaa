"""Messages on the loads of targets between entry and control instances."""

from dataclasses import dataclass
from typing import Annotated, NamedTuple, NewType

from pydantic import Field

from mothshunt.core.types import TargetId
from mothshunt.load_sharing import const
from mothshunt.util.hashing import hash_text
from mothshunt.util.wire import message

#: Hash of a target's name: names would take most of the bytes of a message.
TargetKey = NewType("TargetKey", int)
_KEY_RANGE = 1 << 32

Key = Annotated[TargetKey, Field(ge=0, lt=_KEY_RANGE)]


def target_key(target: TargetId) -> TargetKey:
    """Return the key of a target in messages.

    Two targets of one key (once in 270,000 deployments of 180 targets) share figures,
    so that each seems as busy as the other: that is less even, and nothing else.

    :param target: Name of the target.
    """
    return TargetKey(hash_text(target) % _KEY_RANGE)


class LoadRow(NamedTuple):
    """Load of a target, as its newest response carried it.

    Clocks of different instances are not compared, so it carries its age.

    :param key: Key of the target.
    :param requests: Requests that it was handling, and those that waited.
    :param slowdown_percent: Time that work took there, in hundredths of the usual.
    :param age_ms: Time since the response, in milliseconds.
    """

    key: Key
    requests: Annotated[int, Field(ge=0, le=const.MAX_REQUESTS)]
    slowdown_percent: Annotated[int, Field(ge=0, le=const.MAX_SLOWDOWN_PERCENT)]
    age_ms: Annotated[int, Field(ge=0, le=const.MAX_AGE_MS)]


class DemandRow(NamedTuple):
    """Requests for the objects of a target.

    :param key: Key of the target.
    :param requests: Number of requests.
    """

    key: Key
    requests: Annotated[int, Field(ge=0, le=const.MAX_REQUESTS)]


LoadRows = Annotated[tuple[LoadRow, ...], Field(max_length=const.MAX_ROWS)]


@message("load_sharing.observed")
@dataclass(frozen=True, kw_only=True, slots=True)
class LoadsObserved:
    """What an entry instance has learned since its previous message.

    :param loads: Loads of targets.
    :param demand: Requests that it got, by the first target of their objects.
    """

    loads: LoadRows = ()
    demand: Annotated[tuple[DemandRow, ...], Field(max_length=const.MAX_TARGETS)] = ()


@message("load_sharing.news")
@dataclass(frozen=True, kw_only=True, slots=True)
class LoadNews:
    """What a control instance has learned of targets since its previous message.

    :param loads: Newest loads of targets.
    :param demand: Recent requests of all entry instances, by the first target of their
        objects; empty if the message doesn't contain them.
    """

    loads: LoadRows = ()
    demand: Annotated[tuple[DemandRow, ...], Field(max_length=const.MAX_TARGETS)] = ()

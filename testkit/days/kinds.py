"""Kinds of trouble, read from what the users' bench prints of them."""

import re
from dataclasses import dataclass

#: One kind a line: its name, a colon and what it does.
_LINE = re.compile(r"^([a-z]+(?:_[a-z]+)*): (.+)$")
#: Variants: after "how", up to the end of the clause, without what is in brackets.
_HOW = re.compile(r"(?:^|[;,.] )how:? ([a-z_ ,]+)")
_BRACKETS = re.compile(r"\([^()]*\)")
_PLAIN_WORD = re.compile(r"^[a-z_]+$")


class UnreadableKindsError(Exception):
    """Tell that a list names no kind of trouble."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """Describe a kind of trouble.

    :param name: Its name in a day.
    :param variants: Values of ``how`` that it takes, besides none.
    """

    name: str
    variants: tuple[str, ...] = ()


def read_kinds(text: str) -> tuple[Kind, ...]:
    """Read the kinds that ``fleetbench kinds SITE`` lists.

    :param text: What it prints.
    :raises UnreadableKindsError: No line names a kind.
    """
    kinds = []
    for line in text.splitlines():
        match = _LINE.match(line.strip())
        if match is not None:
            kinds.append(Kind(name=match[1], variants=_variants(match[2])))
    if not kinds:
        raise UnreadableKindsError("no line of the form «name: text»")
    return tuple(kinds)


def _variants(text: str) -> tuple[str, ...]:
    plain = text
    while plain != (plain := _BRACKETS.sub("", plain)):
        continue
    match = _HOW.search(plain)
    if match is None:
        return ()
    clause = match[1]
    if "," not in clause:
        words = clause.split()
    else:
        # A variant with prose behind it is named by its first word.
        words = [part.split()[0] for part in clause.split(",") if part.split()]
    return tuple(word for word in words if _PLAIN_WORD.match(word))

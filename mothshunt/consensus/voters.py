"""Members of the replicated log, and how they change one voter at a time."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NewType

from mothshunt.consensus.model import Voter
from mothshunt.core.types import InstanceId
from mothshunt.util import wire
from mothshunt.util.wire import message

#: Random number of one data folder. An instance that lost its disk comes back with
#: another number, so nothing that the lost one promised is asked of the new one.
ReplicaId = NewType("ReplicaId", int)
NO_REPLICA = ReplicaId(0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """Name one member.

    :param id: Name of the instance.
    :param host: IP number of its peer streams.
    :param port: TCP port of its peer streams.
    :param replica: Number of its data folder.
    """

    id: InstanceId
    host: str
    port: int
    replica: ReplicaId

    def to_voter(self) -> Voter:
        """Return the member as the other slices see it."""
        return Voter(id=self.id, host=self.host, port=self.port)


@message("consensus.membership")
@dataclass(frozen=True, kw_only=True, slots=True)
class Membership:
    """Hold the voters and learners, each sorted by id.

    :param voters: Members whose votes and acknowledgements count.
    :param learners: Members that are catching up.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    def members(self) -> tuple[Member, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    def find(self, instance: InstanceId) -> Member | None:
        """Return the member of a name, where there is one.

        :param instance: Name of the instance.
        """
        return next((m for m in self.members() if m.id == instance), None)

    def is_voter(self, replica: ReplicaId) -> bool:
        """Tell whether a replica votes.

        :param replica: Number of its data folder.
        """
        return any(member.replica == replica for member in self.voters)

    def has(self, replica: ReplicaId) -> bool:
        """Tell whether a replica is a member.

        :param replica: Number of its data folder.
        """
        return any(member.replica == replica for member in self.members())

    def is_quorum(self, holds: Callable[[ReplicaId], bool]) -> bool:
        """Tell whether a majority of the voters satisfies a condition.

        :param holds: The condition, by replica.
        """
        count = sum(1 for member in self.voters if holds(member.replica))
        return count * 2 > len(self.voters)

    def quorum_value(self, value: Callable[[ReplicaId], int]) -> int:
        """Return the highest value that a majority of the voters has reached.

        :param value: What a replica has reached.
        """
        values = sorted((value(member.replica) for member in self.voters), reverse=True)
        return values[len(values) // 2] if values else 0

    def with_learner(self, member: Member) -> "Membership":
        """Return the membership with a learner in place of all of its name.

        A voter of the same name is removed by this, so at most one voter changes.

        :param member: The learner.
        """
        rest = self.without(member.id)
        return Membership(voters=rest.voters, learners=_sorted(rest.learners, member))

    def with_promoted(self, member: Member) -> "Membership":
        """Return the membership with a learner made a voter.

        :param member: The learner.
        """
        learners = tuple(m for m in self.learners if m.id != member.id)
        return Membership(voters=_sorted(self.voters, member), learners=learners)

    def without(self, instance: InstanceId) -> "Membership":
        """Return the membership without an instance.

        :param instance: Name of the instance.
        """
        return Membership(
            voters=tuple(m for m in self.voters if m.id != instance),
            learners=tuple(m for m in self.learners if m.id != instance),
        )


EMPTY = Membership()


def encode(membership: Membership) -> bytes:
    """Encode a membership for an entry.

    :param membership: The membership.
    """
    return wire.pack(membership)


def decode(data: bytes) -> Membership:
    """Decode the membership in an entry.

    :param data: What ``encode`` returned.
    :raises ValueError: When the bytes are no membership.
    """
    result = wire.unpack(data)
    if result.is_error() or not isinstance(result.ok, Membership):
        raise ValueError("an entry does not hold a membership")
    return result.ok


def _sorted(members: tuple[Member, ...], member: Member) -> tuple[Member, ...]:
    return tuple(sorted((*members, member), key=lambda m: m.id))

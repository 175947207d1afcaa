"""Addresses of the control instances that the network should reach."""

from collections.abc import Callable

from mothshunt.consensus.model import Voter
from mothshunt.consensus.voters import Membership


class VoterAddresses:
    """Tell listeners which control instances are to be reached.

    :param initial: Initial voters, by the settings.
    """

    def __init__(self, initial: tuple[Voter, ...]) -> None:
        self._voters = initial
        self._listeners: list[Callable[[tuple[Voter, ...]], None]] = []

    def on_changed(self, listener: Callable[[tuple[Voter, ...]], None]) -> None:
        """Call a listener now and after each change.

        :param listener: Called with all control instances to reach.
        """
        self._listeners.append(listener)
        listener(self._voters)

    def follow(self, membership: Membership) -> None:
        """Reach the members of a membership.

        :param membership: Newest membership; an empty one changes nothing.
        """
        if membership.members():
            self._tell(tuple(member.to_voter() for member in membership.members()))

    def add(self, membership: Membership) -> None:
        """Reach the members of a membership besides those known so far.

        :param membership: What another instance holds; it may be an older one.
        """
        known = {voter.id for voter in self._voters}
        found = [member.to_voter() for member in membership.members()]
        self._tell((*self._voters, *(v for v in found if v.id not in known)))

    def announce(self, voter: Voter) -> None:
        """Reach an instance that is about to become a member.

        :param voter: The instance.
        """
        others = tuple(known for known in self._voters if known.id != voter.id)
        self._tell((*others, voter))

    def _tell(self, found: tuple[Voter, ...]) -> None:
        if found == self._voters:
            return
        self._voters = found
        for listener in self._listeners:
            listener(found)

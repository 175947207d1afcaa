"""Sums over the holders of one limit."""

from dataclasses import dataclass

from mothshunt.limits.messages import Holding


@dataclass(slots=True)
class Tally:
    """Keep sums up to date, so that a renewal costs the same among many holders.

    :param outstanding: Leased room that may be in use anywhere, in requests.
    :param used: Requests in flight as last reported.
    :param extra_static: Static room in use beyond what the limit reserves now.
    :param home_holders: Holders in the region that the limit is of.
    :param home_needed: What usual use of these takes.
    :param home_peaks: What their peaks take besides.
    :param away_wanted: What holders elsewhere want.
    """

    outstanding: int = 0
    used: int = 0
    extra_static: int = 0
    home_holders: int = 0
    home_needed: int = 0
    home_peaks: int = 0
    away_wanted: int = 0

    def add_wish(self, holding: Holding, at_home: bool, sign: int) -> None:
        """Count the wishes of a holder, or take them out.

        :param holding: What the holder reported.
        :param at_home: Whether the holder is in the region that the limit is of.
        :param sign: 1 to count, -1 to take out.
        """
        if not at_home:
            self.away_wanted += sign * holding.wanted
            return
        self.home_holders += sign
        self.home_needed += sign * holding.needed
        self.home_peaks += sign * (holding.wanted - holding.needed)

"""Lines about single requests, bounded in number."""

from dataclasses import dataclass
from typing import Any

from mothshunt.forwarding import const
from mothshunt.helpers.log import get_logger
from mothshunt.metrics.registry import Metrics

_LOGGER = get_logger("forwarding")


@dataclass(slots=True, eq=False)
class DecisionLog:
    """Write a line for each decision on a request, and count what is over the bound.

    :param metrics: Counters of the process.
    """

    metrics: Metrics
    _second: int = 0
    _lines: int = 0
    _dropped: int = 0

    def line(self, text: str, now: float, **fields: Any) -> None:
        """Write a line, unless too many were written in this second.

        :param text: What was decided.
        :param now: The present time, in seconds.
        :param fields: The id of the request, and what decided.
        """
        second = int(now)
        if second != self._second:
            if self._dropped:
                _LOGGER.warning("lines were left out", lines=self._dropped)
            self._second, self._lines, self._dropped = second, 0, 0
        if self._lines >= const.MAX_LINES_PER_S:
            self._dropped += 1
            self.metrics.count(const.METRIC_LINES_DROPPED, slice="forwarding")
            return
        self._lines += 1
        _LOGGER.info(text, **fields)

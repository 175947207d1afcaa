"""Targets that note what they run, and now and then misbehave."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from aiohttp import web

from mothshunt.core.const import HEADER_REQUEST_ID
from testkit.rate_limits import RateLimitHistory
from testkit.routed_deployment import EXPECTED_TARGET, Target
from testkit.soak.history import History, Run
from testkit.soak.notices import Notice, Notices

#: Parts of the requests that are turned away, are run and lose their answer, and are
#: answered late.
TURNED_AWAY_PART = 0.02
ANSWER_LOST_PART = 0.02
#: Part of the requests that are turned away with a pause; among the first.
PAUSE_PART = 0.01
#: Length of such a pause, in seconds.
PAUSE_S = (0.8, 2.5)
LATE_PART = 0.02
#: Time that a request takes, and a late one, in seconds.
WORK_S = 0.02
LATE_S = 0.8


@dataclass
class SoakTarget(Target):
    """Run requests and note each.

    :param history: Where they are noted.
    :param notices: Where it is noted what was asked for with answers.
    :param limits: Where it is noted which limits were named and what came.
    :param now: Returns the time of the soak, in seconds.
    """

    history: History = field(kw_only=True)
    notices: Notices = field(kw_only=True)
    limits: RateLimitHistory = field(kw_only=True)
    now: Callable[[], float] = field(kw_only=True)
    random: Random = field(kw_only=True)
    incarnation: int = 1
    state: str = "serving"
    #: Whether answers say that it leaves.
    tells_leaving: bool = False

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Run a request and note it, or misbehave.

        :param request: The request.
        """
        request_id = request.headers.get(HEADER_REQUEST_ID, "")
        headers = {HEADER_REQUEST_ID: request_id}
        life = (self.name, self.incarnation)
        if request.headers.get(EXPECTED_TARGET) != self.name:
            return web.Response(status=421, headers=headers)
        self.notices.came_by_life[life].append((self.now(), request_id))
        self.limits.record_arrival(life, request_id, self.now())
        if self.tells_leaving:
            headers["Mothshunt-Leaving"] = "1"
            self.notices.given.append(
                Notice(request_id=request_id, life=life, at=self.now())
            )
        chance = self.random.random()
        if chance < TURNED_AWAY_PART:
            not_run = {**headers, "Mothshunt-Ran": "no"}
            if chance < PAUSE_PART:
                pause_s = round(self.random.uniform(*PAUSE_S), 2)
                not_run["Retry-After"] = str(pause_s)
                self.notices.given.append(
                    Notice(
                        request_id=request_id,
                        life=life,
                        at=self.now(),
                        pause_s=pause_s,
                    )
                )
            not_run |= self.limits.response_headers(life, request_id)
            return web.Response(status=503, headers=not_run)
        run = Run(
            target=self.name,
            incarnation=self.incarnation,
            service=self.service,
            zone=f"{self.region}-a",
            at=self.now(),
        )
        self.history.runs_by_id[request_id].append(run)
        if chance > 1.0 - ANSWER_LOST_PART and request.transport is not None:
            request.transport.abort()
            return web.Response()
        is_late = chance > 1.0 - ANSWER_LOST_PART - LATE_PART
        await asyncio.sleep(LATE_S if is_late else WORK_S)
        headers |= self.limits.response_headers(life, request_id)
        text = f"{request_id} {self.name} {self.service}"
        return web.Response(text=text, headers=headers)

    def renewal(self) -> dict[str, Any]:
        """Return the next renewal."""
        return {
            **super().renewal(),
            "incarnation": self.incarnation,
            "state": self.state,
        }

    def name_limit(self, per_s: float | None) -> None:
        """Name another rate limit from now on.

        :param per_s: The limit, in requests a second; ``None`` for none.
        """
        self.limits.set_limit((self.name, self.incarnation), per_s, self.now())

    def begin_again(self) -> None:
        """Serve as the next incarnation."""
        self.incarnation += 1
        self.sequence = 0
        self.state = "serving"
        self.tells_leaving = False

"""Streaming of a target's response body to the caller, up to a deadline."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass

from aiohttp import ClientError, web
from aiohttp.streams import StreamReader

from mothshunt.core.clock import Clock
from mothshunt.forwarding import const

_LATE = "target did not complete the response before the deadline"


class AnswerBrokenOffError(Exception):
    """Response that a target cut short after a part was sent to the caller."""


@dataclass(kw_only=True, slots=True, eq=False)
class BodyStream:
    """Body of a response, on its way from a target to the caller.

    The deadline applies to the target: time for which the caller is waited for is added
    to it. A body without a length may never end, and short waits are part of every long
    body, so only long waits are added there.

    :param payload: Unread part of the body.
    :param has_length: Whether the head of the response states the length of the body.
    :param deadline: Time by which the target must have sent all of it, in seconds.
    :param clock: Source of the present time.
    """

    payload: StreamReader
    has_length: bool
    deadline: float
    clock: Clock

    async def async_wait_for_caller(self, sending: Awaitable[None]) -> None:
        """Wait until the caller takes bytes, and add the time to the deadline.

        :param sending: Ends once bytes can be sent to the caller.
        """
        began_at = self.clock.monotonic()
        await sending
        waited_s = self.clock.monotonic() - began_at
        if self.has_length or waited_s >= const.CALLER_STALL_S:
            self.deadline += waited_s

    async def async_copy(self, response: web.StreamResponse) -> None:
        """Send the body to the caller.

        :param response: Response to the caller; its head has been sent.
        :raises AnswerBrokenOffError: The target ended the body early, or did not
            complete it before the deadline.
        :raises ConnectionError: The caller disconnected.
        """
        while part := await self._async_read():
            await self.async_wait_for_caller(response.write(part))

    async def _async_read(self) -> bytes:
        """Return the next part of the body; empty at its end."""
        try:
            if self.payload.is_eof():
                # A complete body is sent however late the caller reads it.
                return await self.payload.readany()
            left_s = self.deadline - self.clock.monotonic()
            if left_s <= 0:
                raise AnswerBrokenOffError(_LATE)
            async with asyncio.timeout(left_s):
                return await self.payload.readany()
        except TimeoutError as error:
            raise AnswerBrokenOffError(_LATE) from error
        except (ClientError, OSError) as error:
            raise AnswerBrokenOffError(str(error)) from error

"""Event loop whose time passes only while nothing is left to do."""

import asyncio
import selectors


class _VirtualSelector(selectors.SelectSelector):
    """Selector that lets time pass instead of waiting."""

    passed_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing will ever happen")
        self.passed_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with a time that starts at 0."""

    def __init__(self):
        self.virtual = _VirtualSelector()
        super().__init__(self.virtual)

    def time(self):
        return self.virtual.passed_s

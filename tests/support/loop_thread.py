"""An event loop in a thread of its own, for servers beside synchronous steps."""

import asyncio
import threading


class LoopThread:
    """Run coroutines in an event loop that goes on between steps."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine):
        """Run a coroutine and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(60)

    def close(self):
        """End the loop."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

"""A load that runs in the background."""

from concurrent.futures import Future

from testkit.load import LoadDriver, LoadReport
from testkit.loop_thread import LoopThread

LOAD_END_TIMEOUT_S = 60.0


class RunningLoad:
    """A load that is being sent.

    :param loop: Event loop that it runs in.
    :param driver: The driver.
    """

    def __init__(self, loop: LoopThread, driver: LoadDriver) -> None:
        self._loop = loop
        self._driver = driver
        self._future: Future[LoadReport] = loop.submit(driver.async_run())

    @property
    def report(self) -> LoadReport:
        """Return what has been answered so far."""
        return self._driver.report

    def finish(self, timeout_s: float = LOAD_END_TIMEOUT_S) -> LoadReport:
        """Wait for the end of the load.

        :param timeout_s: Seconds to wait.
        """
        return self._future.result(timeout_s)

    def stop(self) -> LoadReport:
        """Send no more, and wait for the answers in flight."""
        self._loop.call(self._driver.stop)
        return self.finish()

"""Start of the program on the platform."""

import signal
import sys

from mothshunt.helpers.program_start import garbage_collection_paused


def main() -> int:
    """Run the instance that the settings file describes; return the exit code."""
    # Until the process can handle it, SIGHUP would end it. Nothing is missed: the
    # settings file is read later, and again whenever it has changed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with garbage_collection_paused():
        from mothshunt.platform.main import EXIT_BAD_SETTINGS, read_instance, run

        instance = read_instance()
    return EXIT_BAD_SETTINGS if instance is None else run(instance)


if __name__ == "__main__":
    sys.exit(main())

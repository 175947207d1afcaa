"""Start of the program on the platform."""

import sys

from mothshunt.helpers.program_start import without_collection


def main() -> int:
    """Run the instance that the settings file describes; return the exit code."""
    with without_collection():
        from mothshunt.platform.main import EXIT_BAD_SETTINGS, read_instance, run

        instance = read_instance()
    return EXIT_BAD_SETTINGS if instance is None else run(instance)


if __name__ == "__main__":
    sys.exit(main())

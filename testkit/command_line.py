"""The operators' command line, run as a process."""

import os
import subprocess
import sys
from collections.abc import Sequence

from testkit.deployment import BOOTSTRAP_TOKEN
from testkit.process import REPOSITORY

CLI_MODULE = "mothshunt.cli.main"
CLI_TIMEOUT_S = 60.0


def run_command(
    admin_urls: Sequence[str], words: Sequence[str]
) -> subprocess.CompletedProcess[str]:
    """Run one command and wait for its end.

    :param admin_urls: Where control instances are administrated.
    :param words: The command with its options.
    """
    environment = {
        **os.environ,
        "PYTHONPATH": str(REPOSITORY),
        "MOTHSHUNT_ADMIN": ",".join(admin_urls),
        "MOTHSHUNT_TOKEN": BOOTSTRAP_TOKEN,
    }
    return subprocess.run(
        [sys.executable, "-m", CLI_MODULE, *words],
        capture_output=True,
        text=True,
        check=False,
        timeout=CLI_TIMEOUT_S,
        env=environment,
    )

"""Runs an instance that reaches targets through proxies, unknown to it.

Usage: ``python -m testkit.redirected_entry PORTS_FILE --config FILE``. The ports file
maps the port of each target to the port of the proxy that this instance alone uses, so
that a test can partition one instance from the targets and no other.
"""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from mothshunt.daemon import main as daemon

_create_connection = asyncio.BaseEventLoop.create_connection


def _port_by_target_port(path: Path) -> dict[str, int]:
    return json.loads(path.read_text()) if path.exists() else {}


def main() -> int:
    """Run the instance; return its exit code."""
    path = Path(sys.argv.pop(1))

    async def create_connection(
        loop: asyncio.BaseEventLoop,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> Any:
        port = _port_by_target_port(path).get(str(port), port)
        return await _create_connection(loop, factory, host, port, **options)

    asyncio.BaseEventLoop.create_connection = create_connection  # type: ignore[assignment, method-assign]
    return daemon.main()


if __name__ == "__main__":
    sys.exit(main())

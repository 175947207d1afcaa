"""The platform's question which entry instances a caller should use."""

import time
from dataclasses import dataclass

from aiohttp import web

from mothshunt.core.codes import Failure
from mothshunt.core.types import AvailabilityZoneId, RegionId
from mothshunt.helpers.http import failure_response
from mothshunt.lookup.directory import EntryLookup
from mothshunt.platform import names
from mothshunt.routing import codes

MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True, eq=False)
class DirectoryEndpoint:
    """Tell callers which entry instances to use.

    :param directory: Finds them.
    """

    directory: EntryLookup

    async def async_handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one call.

        :param request: The call.
        """
        if request.method != "GET" or request.path != names.PATH_RESOLVE:
            failure = Failure(code=codes.UNKNOWN_ZONE, detail=request.path[:80])
            return failure_response(failure)
        found = self.directory.find(
            RegionId(request.query.get("region", "")),
            AvailabilityZoneId(request.query.get("zone", "")),
            time.monotonic(),
        )
        if found.is_error():
            return failure_response(found.error)
        document = {
            "addresses": [f"{entry.host}:{entry.port}" for entry in found.ok.entries],
            "ttl": f"{int(found.ok.lifetime_s * MILLISECONDS_PER_SECOND)}ms",
        }
        return web.json_response(document)

"""Names on the platform's wire."""

from mothshunt.forwarding.model import HeaderNames

ENV_SETTINGS = "MOTHSHUNT_NODE_FILE"

PATH_READY = "/-/readyz"
PATH_RESOLVE = "/-/resolve"
PATH_BEAT = "/-/Instances.Heartbeat/"
PATH_LEAVE = "/-/Instances.Deregister/"
PATH_PATCH = "/-/Configuration.Patch"
PATH_READ = "/-/Configuration.Get"
PATH_EVACUATE = "/-/Evacuate.Begin/"
PATH_TAKE_BACK = "/-/Evacuate.Finish/"

SERVES_CONTROL = "control"
SERVES_DIRECTORY = "directory"
SERVES_ENTRY = "edge"

WORKSPACES = "tenants"

KIND_SAFE = "safe"
KIND_DOWNLOAD = "download"
KIND_NON_IDEMPOTENT = "non_idempotent"
STATE_READY = "ready"
STATE_DRAINING = "draining"
VERSION_TAG = "r"

HEADERS = HeaderNames(
    request_id="Mothshunt-Attempt-Id",
    deadline_ms="Mothshunt-Deadline-Ms",
    expected_target="Mothshunt-Expect-Instance",
    not_run="Mothshunt-Not-Executed",
    not_run_value=None,
    proof="Mothshunt-Response-Seal",
    load="Mothshunt-Server-Load",
    affinity_cookie="Mothshunt-Affinity-Key",
    retry_after="Retry-After",
    leaving="Server-Leaving",
    leaving_value="1",
    rate_limit="Server-Limit",
    workspace="Mothshunt-Tenant",
)


def format_retry_after(seconds: float) -> str:
    """Write a time to come back; the platform's callers read fractions.

    :param seconds: The time, in seconds.
    """
    return f"{seconds:.3f}"

"""Authentication of requests by the keys of workspaces."""

from collections.abc import Callable, Sequence

from mothshunt.core.codes import Failure
from mothshunt.forwarding import codes, const
from mothshunt.routing.const import MAX_KEY_LENGTH
from mothshunt.routing.model import Route, RoutingTable, Workspace
from mothshunt.routing.workspaces import digest_prefix, key_digest

AUTHORIZATION = "Authorization"
_SCHEME = "bearer"
#: Reasons for which a request is rejected before it is known what it asks for.
REJECTION_CODES = (
    codes.KEY_MISSING,
    codes.KEY_UNKNOWN,
    codes.KEY_UNCONFIRMED,
    codes.NO_COMMON_REGION,
)


def authenticate(
    authorization: Sequence[str],
    route: Route,
    table: RoutingTable,
    is_current: Callable[[], bool],
) -> Workspace | Failure | None:
    """Return the workspace that a request belongs to.

    The key is looked up by its SHA-256 digest, so the time of a look-up says nothing
    about stored keys.

    :param authorization: Values of the request's ``Authorization`` header fields.
    :param route: Route of the request.
    :param table: Routing table in force.
    :param is_current: Whether the table is known to be current; called only for an
        unknown key.
    :return: The workspace; ``None`` for a request without one; or a failure with code
        2808 to 2810.
    """
    if not table.workspace_by_name:
        return None
    key = sent_key(authorization)
    if key is None:
        if route.allows_anonymous:
            return None
        return Failure(code=codes.KEY_MISSING)
    workspace = None
    if 0 < len(key) <= MAX_KEY_LENGTH:
        workspace = table.workspace_by_key_digest.get(key_digest(key))
    if workspace is not None:
        return workspace
    if not is_current():
        return Failure(
            code=codes.KEY_UNCONFIRMED, retry_after_s=const.UNCONFIRMED_RETRY_S
        )
    return Failure(code=codes.KEY_UNKNOWN)


def sent_key(authorization: Sequence[str]) -> str | None:
    """Return the key of a request; ``None`` if it has none.

    Credentials of another scheme are no key. Several header fields with keys are
    ambiguous and count as an empty key, which is always unknown.

    :param authorization: Values of the request's ``Authorization`` header fields.
    """
    keys = []
    for value in authorization:
        scheme, _, key = value.strip().partition(" ")
        if scheme.lower() == _SCHEME:
            keys.append(key.strip())
    if not keys:
        return None
    return keys[0] if len(keys) == 1 else ""


def sent_digest_prefix(authorization: Sequence[str]) -> str | None:
    """Return the first digits of the digest of a request's key, for log lines.

    Operators are shown the same digits of stored keys.

    :param authorization: Values of the request's ``Authorization`` header fields.
    :return: The digits; ``None`` if the request has no key or one that is too long.
    """
    key = sent_key(authorization)
    if not key or len(key) > MAX_KEY_LENGTH:
        return None
    return digest_prefix(key_digest(key))


def region_fault(workspace: Workspace | None, route: Route) -> Failure | None:
    """Return the fault that workspace and route have no home region in common.

    :param workspace: Workspace of the request; ``None`` for none.
    :param route: Route of the request.
    """
    if workspace is None or not workspace.home_regions or not route.home_regions:
        return None
    if not set(workspace.home_regions).isdisjoint(route.home_regions):
        return None
    return Failure(
        code=codes.NO_COMMON_REGION,
        detail=f"workspace {workspace.name}, route {route.name}",
        retry_after_s=const.NO_COMMON_REGION_RETRY_S,
    )

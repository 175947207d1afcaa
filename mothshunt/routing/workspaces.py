"""Keys of workspaces: their digests, the index by digest and the validation."""

import hashlib
import json
import math
from collections.abc import Iterable, Iterator, Mapping

from mothshunt.core.codes import Failure
from mothshunt.core.types import WorkspaceName
from mothshunt.routing import codes, const
from mothshunt.routing.model import Workspace, WorkspaceItem


def key_digest(key: str) -> str:
    """Return the digest by which a key is stored and looked up.

    :param key: The key, from a document or from the header field of a request.
    """
    try:
        # Bytes of a header field that aren't UTF-8 are represented as surrogates.
        content = key.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        # A document may hold other surrogates; no header field contains them.
        content = key.encode("utf-8", "surrogatepass")
    return hashlib.sha256(content).hexdigest()


def key_digests(keys: Iterable[str]) -> tuple[str, ...]:
    """Return the digests of a workspace's keys; a repeated key counts once.

    :param keys: The keys.
    """
    return tuple(dict.fromkeys(key_digest(key) for key in keys))


def digest_prefix(digest: str) -> str:
    """Return the part of a digest that tells keys apart for people.

    :param digest: The digest of a key.
    """
    return digest[: const.DIGEST_PREFIX_LENGTH]


def workspace_by_key_digest(workspaces: Iterable[Workspace]) -> dict[str, Workspace]:
    """Return the index for the look-up of keys.

    :param workspaces: Workspaces that exist.
    """
    return {
        digest: workspace
        for workspace in workspaces
        for digest in workspace.key_digests
    }


def without_document(value: bytes) -> bytes:
    """Return a stored workspace item without the operator's document.

    The document contains the keys; entry instances need only the digests.

    :param value: JSON text of a ``WorkspaceItem``.
    """
    item = json.loads(value)
    if item["workspace"] is not None:
        item["workspace"]["document"] = ""
    return json.dumps(item, separators=(",", ":")).encode()


def faults_in_workspaces(items: Iterable[WorkspaceItem]) -> Iterator[Failure]:
    """Yield the faults in any workspace of a patch, whether it takes effect or not.

    :param items: Workspaces that the patch sets and drops.
    :return: Failures with code 2701 or 2708; they never contain a key.
    """
    name_by_digest: dict[str, WorkspaceName] = {}
    for index, item in enumerate(items):
        workspace = item.workspace
        if workspace is None:
            continue
        path = f"/workspaces/{index}"
        for member, problem in _problems(workspace):
            yield Failure(
                code=codes.INVALID_ITEM,
                detail=f"{workspace.name!a:.80}: {problem}",
                path=f"{path}/{member}",
            )
        for digest in workspace.key_digests:
            other = name_by_digest.setdefault(digest, workspace.name)
            if other != workspace.name:
                yield _shared_key(other, workspace.name, f"{path}/keys")


def shared_key_fault(
    items: Mapping[WorkspaceName, WorkspaceItem],
    changed: Mapping[WorkspaceName, WorkspaceItem],
) -> Failure | None:
    """Return the fault that a changed workspace has a key of another one.

    The stored keys are compared with those that change, so that the cost is one look-up
    for each stored key, and nothing for a patch without workspaces.

    :param items: All workspaces after the patch.
    :param changed: Those that the patch changes.
    """
    name_by_digest = {
        digest: name
        for name, item in changed.items()
        if item.workspace is not None
        for digest in item.workspace.key_digests
    }
    if not name_by_digest:
        return None
    for name, item in items.items():
        if item.workspace is None:
            continue
        for digest in item.workspace.key_digests:
            if name_by_digest.get(digest, name) != name:
                return _shared_key(name_by_digest[digest], name)
    return None


def _problems(workspace: Workspace) -> Iterator[tuple[str, str]]:
    """Yield the members of a workspace that are faulty, with a description of each."""
    name = workspace.name
    if not 0 < len(name) <= const.MAX_NAME_LENGTH:
        yield "name", "the name is empty or too long"
    # The name is sent to targets in a header field.
    elif not (name.isprintable() and name == name.strip()):
        yield "name", "the name has other characters"
    if not _is_quota(workspace.requests_per_s):
        yield "requests_per_s", "the quota is negative"
    if not _is_quota(workspace.burst):
        yield "burst", "the burst is negative"
    if workspace.priority is not None and workspace.priority < 0:
        yield "priority", "the priority is negative"


def _is_quota(number: float) -> bool:
    return math.isfinite(number) and number >= 0


def _shared_key(one: WorkspaceName, other: WorkspaceName, path: str = "") -> Failure:
    return Failure(code=codes.KEY_TAKEN, detail=f"{one} and {other}", path=path)

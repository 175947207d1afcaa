"""Workspaces as the administration API takes and shows them."""

import json
from dataclasses import dataclass, field
from typing import Annotated

from pydantic import ConfigDict, Field

from mothshunt.core.types import ItemVersion, RegionId, WorkspaceName
from mothshunt.routing.const import MAX_KEY_LENGTH, MAX_NAME_LENGTH
from mothshunt.routing.model import Workspace, WorkspaceItem
from mothshunt.routing.workspaces import digest_prefix, key_digests

Key = Annotated[str, Field(min_length=1, max_length=MAX_KEY_LENGTH)]
Quota = Annotated[float, Field(ge=0, allow_inf_nan=False)]


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceBody:
    """Set a workspace at one version.

    :param name: Unique name, which targets get with each request.
    :param version: Version of the item; the highest takes effect.
    :param keys: Keys that its requests carry; only their digests are stored. Without
        any, none of its requests is accepted.
    :param requests_per_s: Quota of requests a second; 0 for no limit.
    :param burst: Requests that may exceed the rate at a time.
    :param priority: Rank of its requests, instead of the route's; 0 is the most urgent.
    :param home_regions: Regions that its requests must not leave; none for all.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    name: Annotated[WorkspaceName, Field(min_length=1, max_length=MAX_NAME_LENGTH)]
    version: Annotated[ItemVersion, Field(ge=0, lt=2**62)]
    keys: tuple[Key, ...] = field(default=(), repr=False)
    requests_per_s: Quota = 0.0
    burst: Quota = 0.0
    priority: Annotated[int, Field(ge=0, le=1000)] | None = None
    home_regions: tuple[RegionId, ...] = ()

    def item(self) -> WorkspaceItem:
        """Return the item that this describes."""
        digests = key_digests(self.keys)
        document = {
            "name": self.name,
            "version": self.version,
            "key_digests": digests,
            "requests_per_s": self.requests_per_s,
            "burst": self.burst,
            "priority": self.priority,
            "home_regions": self.home_regions,
        }
        workspace = Workspace(
            name=self.name,
            key_digests=digests,
            requests_per_s=self.requests_per_s,
            burst=self.burst,
            priority=self.priority,
            home_regions=self.home_regions,
            document=json.dumps(document),
        )
        return WorkspaceItem(name=self.name, version=self.version, workspace=workspace)


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkspaceDocument:
    """Show a workspace at one version.

    :param name: Unique name.
    :param version: Version of the item.
    :param key_digests: First digits of the SHA-256 digests of its keys.
    :param requests_per_s: Quota of requests a second; 0 for no limit.
    :param burst: Requests that may exceed the rate at a time.
    :param priority: Rank of its requests; ``None`` for that of the route.
    :param home_regions: Regions that its requests must not leave; none for all.
    """

    name: WorkspaceName
    version: ItemVersion
    key_digests: tuple[str, ...]
    requests_per_s: float
    burst: float
    priority: int | None
    home_regions: tuple[RegionId, ...]

    @classmethod
    def from_item(
        cls, workspace: Workspace, version: ItemVersion
    ) -> "WorkspaceDocument":
        """Describe a workspace.

        :param workspace: The workspace.
        :param version: Version of the item.
        """
        return cls(
            name=workspace.name,
            version=version,
            key_digests=tuple(digest_prefix(d) for d in workspace.key_digests),
            requests_per_s=workspace.requests_per_s,
            burst=workspace.burst,
            priority=workspace.priority,
            home_regions=workspace.home_regions,
        )

"""Log lines of the quota slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.helpers.log import log_event


@log_event("quota rejections", slice_name="quota")
@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaRejections:
    """Requests that this instance rejected because of quotas since the last line.

    :param rejected_by_workspace: Number of rejected requests of the workspaces with
        most of them.
    :param rejected: Number of rejected requests of all workspaces.
    :param admitted: Number of admitted requests of all workspaces with a quota.
    """

    rejected_by_workspace: dict[str, int]
    rejected: int
    admitted: int


@log_event("quota share", slice_name="quota")
@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaShareChanged:
    """Share of each quota that this control instance issues, where it has changed.

    :param share: Share, from 0 for none to 1.
    :param before: The share before.
    :param members: Number of control instances, as known here.
    """

    share: float
    before: float
    members: int

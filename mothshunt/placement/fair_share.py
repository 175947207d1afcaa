"""Fair shares of a capacity among workspaces: max-min over those that ask."""

from collections.abc import Mapping

from mothshunt.core.types import WorkspaceName


def fair_limit(
    asked_by_workspace: Mapping[WorkspaceName, float],
    unnamed: float,
    unnamed_count: int,
    budget: float,
) -> float:
    """Return the most that one workspace may use, so that all together use the budget.

    A workspace that asks for less than the limit gets all that it asks for, and what it
    leaves is available to the others. Workspaces without a name in the counts ask for
    less than the named ones; each is taken to ask for their mean.

    :param asked_by_workspace: Requests of the largest workspaces.
    :param unnamed: Requests of all other workspaces.
    :param unnamed_count: Number of those workspaces.
    :param budget: Requests that can be admitted.
    :return: The limit; infinite if the budget is enough for all.
    """
    asked = sorted(asked_by_workspace.values())
    if unnamed_count > 0:
        asked = sorted([*asked, *[unnamed / unnamed_count] * unnamed_count])
    else:
        budget -= unnamed
    left = max(0.0, budget)
    for index, count in enumerate(asked):
        share = left / (len(asked) - index)
        if count > share:
            return share
        left -= count
    return float("inf")

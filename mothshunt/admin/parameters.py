"""Parameters that requests carry in their query or body."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import ConfigDict, Field

from mothshunt.access.model import Grant, TokenHash
from mothshunt.admin.const import (
    DEFAULT_RECORDS,
    DEFAULT_TIMEOUT_MS,
    MAX_RECORDS,
    MAX_SUMMARY_LENGTH,
    MAX_TIMEOUT_MS,
    MIN_TIMEOUT_MS,
    MS_PER_S,
)
from mothshunt.core.const import ID_PATTERN
from mothshunt.core.types import ChangeId, InstanceId, Revision

_STRICT = ConfigDict(extra="forbid")

TimeoutMs = Annotated[int, Field(ge=MIN_TIMEOUT_MS, le=MAX_TIMEOUT_MS)]
BaseRevision = Annotated[Revision, Field(ge=0)]
ChangeName = Annotated[ChangeId, Field(pattern=ID_PATTERN)]
Summary = Annotated[str, Field(max_length=MAX_SUMMARY_LENGTH)]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadQuery:
    """Say how long to wait for a confirmed read.

    :param timeout_ms: Milliseconds to wait.
    """

    __pydantic_config__ = _STRICT

    timeout_ms: TimeoutMs = DEFAULT_TIMEOUT_MS

    @property
    def timeout_s(self) -> float:
        """Return the seconds to wait."""
        return self.timeout_ms / MS_PER_S


@dataclass(frozen=True, kw_only=True, slots=True)
class VoterQuery(ReadQuery):
    """Say whether the replicated log is shown as a majority holds it.

    :param confirmed: Whether to refuse what no majority confirms, instead of showing
        what is known here.
    """

    __pydantic_config__ = _STRICT

    confirmed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeQuery:
    """Name a change and what it is based on.

    :param change_id: Chosen by the operator; sent again, it is the same change.
    :param base_revision: Revision of the item that the change is based on; 0 where
        the item does not exist.
    :param summary: Text for the audit trail.
    :param timeout_ms: Milliseconds to wait for the commit.
    """

    __pydantic_config__ = _STRICT

    change_id: ChangeName
    base_revision: BaseRevision
    summary: Summary = ""
    timeout_ms: TimeoutMs = DEFAULT_TIMEOUT_MS

    @property
    def timeout_s(self) -> float:
        """Return the seconds to wait."""
        return self.timeout_ms / MS_PER_S


@dataclass(frozen=True, kw_only=True, slots=True)
class RollbackQuery(ChangeQuery):
    """Name the revision whose value is put in force again.

    :param revision: Revision of the item to go back to.
    """

    __pydantic_config__ = _STRICT

    revision: Annotated[Revision, Field(ge=1)]


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordQuery(ReadQuery):
    """Say which records to list.

    :param limit: Most records to return.
    :param values: Whether to show the items after each change.
    """

    __pydantic_config__ = _STRICT

    limit: Annotated[int, Field(ge=1, le=MAX_RECORDS)] = DEFAULT_RECORDS
    values: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainBody:
    """Say why something is drained.

    :param reason: Text for other operators.
    """

    __pydantic_config__ = _STRICT

    reason: Summary = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorBody:
    """Describe an operator.

    :param grants: Roles of the operator.
    :param token_sha256: Hash of a token that the sender made; ``None`` leaves it to
        the API.
    :param new_token: Whether an operator who has a token gets a new one.
    """

    __pydantic_config__ = _STRICT

    grants: tuple[Grant, ...]
    token_sha256: TokenHash | None = None
    new_token: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class VoterBody:
    """Name a new voter.

    :param id: Name of the instance.
    :param host: IP number of its peer streams; taken from its record where missing.
    :param port: TCP port of its peer streams; taken from its record where missing.
    """

    __pydantic_config__ = _STRICT

    id: Annotated[InstanceId, Field(pattern=ID_PATTERN)]
    host: str | None = None
    port: Annotated[int | None, Field(ge=1, le=65535)] = None

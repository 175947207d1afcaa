"""Messages that deliver the configuration from a control instance to the others."""

from dataclasses import dataclass

from mothshunt.configuration.service import Item
from mothshunt.core.types import Revision
from mothshunt.util.wire import message


@message("configuration.subscribe")
@dataclass(frozen=True, kw_only=True, slots=True)
class Subscribe:
    """Ask a control instance for all changes after a revision, from now on.

    :param revision: Revision that the subscriber holds.
    :param is_whole: Whether all items are wanted, as the subscriber's differ.
    :param wants_changes: Whether each change is to be told at once; otherwise only the
        beats are, and the subscriber asks for what they show that it lacks.
    """

    revision: Revision
    is_whole: bool = False
    wants_changes: bool = True


@message("configuration.delta_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class DeltaRequest:
    """Ask a control instance once for all changes after a revision.

    :param revision: Revision that the sender holds.
    :param is_whole: Whether all items are wanted, as the sender's differ.
    """

    revision: Revision
    is_whole: bool = False


@message("configuration.delta")
@dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """Carry the items that changed between two revisions.

    :param from_revision: Revision that the receiver must hold at least.
    :param to_revision: Revision that it holds afterwards.
    :param digest: Digest of all its items afterwards.
    :param items: Items that changed.
    :param is_whole: Whether these are all items, to replace what is held.
    """

    from_revision: Revision
    to_revision: Revision
    digest: int
    items: tuple[Item, ...]
    is_whole: bool = False


@message("configuration.beat")
@dataclass(frozen=True, kw_only=True, slots=True)
class Beat:
    """Tell subscribers what they should hold.

    :param revision: Revision of the control instance.
    :param digest: Digest of its items.
    :param confirmed_age_ms: Time since a majority last confirmed that the control
        instance is current, in milliseconds.
    """

    revision: Revision
    digest: int
    confirmed_age_ms: int


@message("configuration.confirmed_revision_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmedRevisionRequest:
    """Ask for the current revision, confirmed by a majority after this request."""


@message("configuration.confirmed_revision")
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmedRevision:
    """Answer with the current revision.

    :param revision: The revision; ``None`` when no majority confirmed one.
    """

    revision: Revision | None

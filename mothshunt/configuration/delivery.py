"""Messages that deliver the configuration from a control instance to the others."""

from dataclasses import dataclass

from mothshunt.configuration.service import Item
from mothshunt.core.types import Revision
from mothshunt.util.wire import message


@message("configuration.subscribe")
@dataclass(frozen=True, kw_only=True, slots=True)
class Subscribe:
    """Subscription to the changes after a revision, sent to a control instance.

    :param revision: Revision that the subscriber holds.
    :param is_whole: Whether to send all items, because the subscriber's differ from
        the control instance's.
    :param wants_changes: Whether each change is sent at once; otherwise only beats are
        sent, and the subscriber requests a delta when a beat shows a newer revision.
    """

    revision: Revision
    is_whole: bool = False
    wants_changes: bool = True


@message("configuration.delta_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class DeltaRequest:
    """Single request for the changes after a revision, sent to a control instance.

    :param revision: Revision that the sender holds.
    :param is_whole: Whether to send all items, because the sender's differ from the
        control instance's.
    """

    revision: Revision
    is_whole: bool = False


@message("configuration.delta")
@dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """Items that changed between two revisions.

    :param from_revision: Oldest revision at which a receiver can apply the delta.
    :param to_revision: Revision of the receiver after it has applied the delta.
    :param digest: Digest of all items of the receiver after it has applied the delta.
    :param items: Items that changed.
    :param is_whole: Whether these are all items, which replace those of the receiver.
    """

    from_revision: Revision
    to_revision: Revision
    digest: int
    items: tuple[Item, ...]
    is_whole: bool = False


@message("configuration.beat")
@dataclass(frozen=True, kw_only=True, slots=True)
class Beat:
    """Periodic message to subscribers with the revision that they should hold.

    :param revision: Revision of the control instance.
    :param digest: Digest of its items.
    :param confirmed_age_ms: Time since a majority of the voters last confirmed that the
        control instance is up to date, in milliseconds.
    """

    revision: Revision
    digest: int
    confirmed_age_ms: int


@message("configuration.confirmed_revision_request")
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmedRevisionRequest:
    """Request for the revision that a majority confirms after the request arrives."""


@message("configuration.confirmed_revision")
@dataclass(frozen=True, kw_only=True, slots=True)
class ConfirmedRevision:
    """Response with the confirmed revision.

    :param revision: Current revision; ``None`` if no majority confirmed it in time.
    """

    revision: Revision | None

"""Messages between holders of shares and the instance that grants them."""

from dataclasses import dataclass

from mothshunt.core.types import Incarnation, InstanceId, Revision, Term
from mothshunt.limits.model import LimitKey
from mothshunt.util.wire import message


@dataclass(frozen=True, kw_only=True, slots=True)
class Holding:
    """Report what a holder has and wants of one limit.

    :param key: The limit.
    :param held: Leased share that the holder may still use, in requests.
    :param static: Static share that the holder uses without a lease, in requests.
    :param in_use: Requests in flight under the limit.
    :param needed: Leased share that usual use takes, in requests.
    :param wanted: Leased share that the holder asks for, in requests; what is over
        the need covers peaks.
    """

    key: LimitKey
    held: int
    static: int
    in_use: int
    needed: int
    wanted: int


@message("limits.renewal")
@dataclass(frozen=True, kw_only=True, slots=True)
class Renewal:
    """Ask for shares for one lease period.

    :param holder: Entry instance that asks.
    :param incarnation: Incarnation of the holder.
    :param sequence: Grows with each renewal; the holder accepts only the answer to
        the one that it sent last.
    :param revision: Configuration in force at the holder.
    :param holdings: All limits that the holder uses or wants to use.
    :param forwarded: Whether a control instance passed this on to the leader.
    """

    holder: InstanceId
    incarnation: Incarnation
    sequence: int
    revision: Revision
    holdings: tuple[Holding, ...]
    forwarded: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantedShare:
    """Grant a share of one limit.

    :param key: The limit.
    :param share: Leased share, in requests.
    """

    key: LimitKey
    share: int


@message("limits.grant")
@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Answer a renewal.

    :param sequence: Sequence of the renewal.
    :param term: Term of the leader that grants.
    :param lease_s: Seconds from the sending of the renewal for which shares last.
    :param shares: Share of each limit that was asked for.
    """

    sequence: int
    term: Term
    lease_s: float
    shares: tuple[GrantedShare, ...]


@message("limits.renewal_refused")
@dataclass(frozen=True, kw_only=True, slots=True)
class RenewalRefused:
    """Refuse a renewal; what the holder holds stays as it is.

    :param sequence: Sequence of the renewal.
    :param code: Number of the result code.
    :param detail: Text for a person.
    """

    sequence: int
    code: int
    detail: str = ""

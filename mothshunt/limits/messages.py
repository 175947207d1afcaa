"""Messages between entry instances that hold shares and the leader that grants them."""

from dataclasses import dataclass

from mothshunt.core.types import Incarnation, InstanceId, Revision, Term
from mothshunt.limits.model import LimitKey
from mothshunt.util.wire import message


@dataclass(frozen=True, kw_only=True, slots=True)
class Holding:
    """Use of one limit by a holder, and the shares that it has and wants.

    :param key: The limit.
    :param held: Leased share that the holder may still use, in requests.
    :param static: Static share, which needs no lease, in requests.
    :param in_use: Requests in flight under the limit.
    :param needed: Leased share that average use takes, in requests.
    :param wanted: Leased share that the holder requests; the part beyond ``needed``
        covers peaks.
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
    """Request of a holder for shares for one lease period.

    :param holder: Entry instance that sends it.
    :param incarnation: Incarnation of the holder.
    :param sequence: Number that grows with each renewal; the holder accepts only the
        answer to the renewal that it sent last.
    :param revision: Revision of the configuration in force at the holder.
    :param holdings: All limits that the holder uses or wants to use.
    :param forwarded: Whether a control instance forwarded this to the leader.
    """

    holder: InstanceId
    incarnation: Incarnation
    sequence: int
    revision: Revision
    holdings: tuple[Holding, ...]
    forwarded: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantedShare:
    """Leased share of one limit.

    :param key: The limit.
    :param share: Size of the share, in requests.
    """

    key: LimitKey
    share: int


@message("limits.grant")
@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Answer of the leader that grants shares.

    :param sequence: Sequence number of the renewal.
    :param term: Term of the leader.
    :param lease_s: Time for which the shares are valid, in seconds, counted from the
        sending of the renewal.
    :param shares: Share of each limit in the renewal.
    """

    sequence: int
    term: Term
    lease_s: float
    shares: tuple[GrantedShare, ...]


@message("limits.renewal_refused")
@dataclass(frozen=True, kw_only=True, slots=True)
class RenewalRefused:
    """Refusal of a renewal; the shares of the holder stay as they are.

    :param sequence: Sequence number of the renewal.
    :param code: Number of the result code.
    :param detail: Explanation for a person.
    """

    sequence: int
    code: int
    detail: str = ""

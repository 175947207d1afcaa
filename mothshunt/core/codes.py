"""Numbered result codes; each slice defines its own in its ``codes`` module.

Number ranges: 1000 settings, 1100 peer streams, 1200 receipt, 2000 dispatch,
2100 lookup, 2200 steering, 2300 limits, 2400 ledger, 2500 drain, 2600 discovery,
2700 routing, 2800 forwarding, 2900 placement, 3000 admin, 3100 contract, 3200 access,
3300 isolation, 3400 quota, 4000 consensus, 4100 configuration, 4200 membership.
"""

from dataclasses import dataclass

from mothshunt.core.types import Ran


@dataclass(frozen=True, kw_only=True, slots=True)
class ResultCode:
    """Kind of refusal or error.

    :param number: Unique number, stable between releases.
    :param name: Unique name in snake case, also the label value in metrics.
    :param http_status: Status of an HTTP response that carries this code.
    :param summary: What happened, in one sentence.
    :param action: What the recipient can do about it, in one sentence.
    """

    number: int
    name: str
    http_status: int
    summary: str
    action: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """One occurrence of a refusal or error, with its details.

    :param code: Result code.
    :param detail: Text for people; programs do not parse it.
    :param path: JSON pointer to the fault in a document, such as
        ``/listen/traffic/port``.
    :param ran: Whether a target may have run the request.
    :param retry_after_s: Seconds after which the caller may retry.
    """

    code: ResultCode
    detail: str = ""
    path: str = ""
    ran: Ran = Ran.NO
    retry_after_s: float | None = None


class MothshuntError(Exception):
    """Failure raised as an exception, where a result can't be returned.

    :param failure: Failure that the exception reports.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(f"{failure.code.number} {failure.code.name}: {failure.detail}")
        self.failure = failure

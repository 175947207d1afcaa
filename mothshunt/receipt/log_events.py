"""Log lines of the receipt slice: one dataclass for each kind."""

from dataclasses import dataclass

from mothshunt.helpers.log import log_event


@log_event("process was suspended", slice_name="receipt")
@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessSuspended:
    """Gap in which the process read nothing: it was stopped, or its event loop blocked.

    :param suspended_s: Length of the gap, in seconds.
    """

    suspended_s: float

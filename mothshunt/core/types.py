"""Identifiers and enumerations that several slices use."""

from enum import Enum
from typing import NewType

InstanceId = NewType("InstanceId", str)
CustomerId = NewType("CustomerId", str)
WorkspaceName = NewType("WorkspaceName", str)
ServiceName = NewType("ServiceName", str)
RegionId = NewType("RegionId", str)
AvailabilityZoneId = NewType("AvailabilityZoneId", str)
TargetId = NewType("TargetId", str)
RouteName = NewType("RouteName", str)
HostName = NewType("HostName", str)
OperatorId = NewType("OperatorId", str)
ChangeId = NewType("ChangeId", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

#: Log index of the last change that a configuration includes.
Revision = NewType("Revision", int)
#: Number that is higher for each new process with the same identifier.
Incarnation = NewType("Incarnation", int)
#: Election term of the replicated log.
Term = NewType("Term", int)
#: Version number that the operator gives a routing item; the highest takes effect.
ItemVersion = NewType("ItemVersion", int)
#: Position in the replicated log; the first entry has index 1.
LogIndex = NewType("LogIndex", int)


class Role(Enum):
    """Duty of an instance, set in its settings."""

    ENTRY = "entry"
    CONTROL = "control"


class Ran(Enum):
    """Whether a request without a response from a target was run by a target."""

    NO = "no"
    UNKNOWN = "unknown"


class Preference(Enum):
    """What a customer's contract prefers where latency and headroom conflict."""

    LATENCY = "latency"
    HEADROOM = "headroom"


class TargetState(Enum):
    """State that a target announces for itself."""

    SERVING = "serving"
    LEAVING = "leaving"


class InstanceState(Enum):
    """State that an instance reports for itself."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"

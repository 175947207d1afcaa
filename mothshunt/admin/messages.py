"""What handlers of the administration API are given and what they return."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Generic, TypeVar

from expression import Error, Result

from mothshunt.access.model import AccessRole, Operator
from mothshunt.admin import codes
from mothshunt.admin.const import ATTR_CUSTOMER
from mothshunt.admin.model import ControlAddress, WinnerDocument
from mothshunt.admin.parameters import ReadQuery
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import ChangeId, CustomerId, Revision
from mothshunt.receipt.model import UNWATCHED, Receipt
from mothshunt.util import schema

T = TypeVar("T")
Q_co = TypeVar("Q_co", covariant=True)


class Scope(Enum):
    """What a route needs its role for."""

    #: For the customer that the path names.
    CUSTOMER = "customer"
    #: For the deployment as a whole.
    DEPLOYMENT = "deployment"
    #: For at least one customer; the handler checks or filters further.
    ANY = "any"
    #: No token is needed.
    OPEN = "open"


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Carry a failure with what an operator needs to go on.

    :param failure: The failure.
    :param faults: Every fault of the document that was sent.
    :param change_id: The change that was asked for.
    :param winner: The change that was accepted in its place.
    :param control: Control instances to ask instead.
    """

    failure: Failure
    faults: tuple[Failure, ...] = ()
    change_id: ChangeId | None = None
    winner: WinnerDocument | None = None
    control: tuple[ControlAddress, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Carry an answer.

    :param body: Instance of a dataclass of ``admin.model``.
    :param status: HTTP status.
    :param revision: Revision of the item shown, for the header ``ETag``.
    """

    body: object
    status: int = 200
    revision: Revision | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Call(Generic[Q_co]):
    """Carry one authorized request.

    :param operator: Who asks.
    :param path_values: Values of the variable parts of the path.
    :param query: Parameters of the query, checked.
    :param body: Body of the request.
    :param receipt: Receipt of the request.
    """

    operator: Operator
    path_values: Mapping[str, str]
    query: Q_co
    body: bytes
    receipt: Receipt = UNWATCHED

    def customer(self) -> CustomerId:
        """Return the customer that the path names."""
        return CustomerId(self.path_values[ATTR_CUSTOMER])

    def document(self, cls: type[T]) -> Result[T, Refusal]:
        """Read the body; an empty one stands for an empty JSON object.

        :param cls: Dataclass of the body.
        """
        document = schema.from_json(cls, self.body or b"{}")
        return document.map_error(lambda faults: _refusal(faults, codes.BODY_INVALID))


Handler = Callable[[Call[Any]], Awaitable[Result[Reply, Refusal]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Describe one operation of the API.

    :param method: HTTP method.
    :param path: Path with variable parts in braces.
    :param summary: What it does, in one sentence.
    :param role: Role that it needs.
    :param scope: What the role is needed for.
    :param handler: Carries it out.
    :param query: Dataclass of its query.
    :param body: Dataclass of its body, if it takes one.
    :param answer: Dataclass of its answer.
    """

    method: str
    path: str
    summary: str
    role: AccessRole
    scope: Scope
    handler: Handler
    answer: type[Any]
    query: type[Any] = ReadQuery
    body: type[Any] | None = None


def refuse(code: ResultCode, detail: str = "", path: str = "") -> Result[Any, Refusal]:
    """Return a refusal that changed nothing.

    :param code: Kind of the failure.
    :param detail: Text for a person.
    :param path: Place of the fault.
    """
    return Error(Refusal(failure=Failure(code=code, detail=detail, path=path)))


def parsed_query(cls: type[T], values: Mapping[str, str]) -> Result[T, Refusal]:
    """Read the query of a request.

    :param cls: Dataclass of its parameters.
    :param values: Value of each parameter.
    """
    query = schema.from_plain(cls, dict(values))
    return query.map_error(lambda faults: _refusal(faults, codes.PARAMETER_INVALID))


def _refusal(faults: tuple[schema.Fault, ...], code: ResultCode) -> Refusal:
    failures = tuple(
        Failure(code=code, path=fault.path, detail=fault.problem) for fault in faults
    )
    return Refusal(failure=failures[0], faults=failures)

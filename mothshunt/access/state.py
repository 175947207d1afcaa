"""Authentication and authorization of operators."""

import hmac
from collections.abc import Sequence

from expression import Error, Ok, Result

from mothshunt.access import codes
from mothshunt.access.const import ALL_CUSTOMERS, BOOTSTRAP_OPERATOR
from mothshunt.access.model import AccessRole, Grant, Operator
from mothshunt.access.token import token_sha256
from mothshunt.core.codes import Failure
from mothshunt.core.types import CustomerId, OperatorId


def bootstrap_operator(bootstrap_token_sha256: str) -> Operator:
    """Return the first administrator, which the settings define.

    :param bootstrap_token_sha256: SHA-256 of its token, in hexadecimal digits.
    """
    grant = Grant(customer=ALL_CUSTOMERS, role=AccessRole.ADMINISTER)
    return Operator(
        id=BOOTSTRAP_OPERATOR, token_sha256=bootstrap_token_sha256, grants=(grant,)
    )


def identify(
    operators: Sequence[Operator],
    bootstrap_token_sha256: str | None,
    token: str | None,
) -> Result[Operator, Failure]:
    """Return the operator that a token belongs to.

    :param operators: Operators of the replicated configuration.
    :param bootstrap_token_sha256: Hash of the bootstrap token, if there is one.
    :param token: Token of the request; ``None`` when it carries none.
    :return: The operator, or a failure with code 3201 or 3202.
    """
    if not token:
        return Error(Failure(code=codes.TOKEN_MISSING))
    known = list(operators)
    if bootstrap_token_sha256 is not None:
        known.append(bootstrap_operator(bootstrap_token_sha256))
    presented = token_sha256(token)
    found = None
    # Always compare with all operators, so that the duration does not reveal a match.
    for operator in known:
        if hmac.compare_digest(operator.token_sha256, presented):
            found = operator
    return Ok(found) if found else Error(Failure(code=codes.TOKEN_UNKNOWN))


def require_role(
    operator: Operator, needed: AccessRole, customer: CustomerId | None
) -> Result[OperatorId, Failure]:
    """Check that an operator has a role.

    :param operator: Operator that makes the request.
    :param needed: Role that is required.
    :param customer: Customer concerned; ``None`` for the deployment as a whole.
    :return: Name of the operator, or a failure with code 3203.
    """
    if operator.has_role(needed, customer):
        return Ok(operator.id)
    scope = customer if customer is not None else ALL_CUSTOMERS
    detail = f"{operator.id} needs the role {needed.value} for {scope}"
    return Error(Failure(code=codes.ROLE_INSUFFICIENT, detail=detail))


def authorize(
    operators: Sequence[Operator],
    bootstrap_token_sha256: str | None,
    token: str | None,
    needed: AccessRole,
    customer: CustomerId | None,
) -> Result[OperatorId, Failure]:
    """Check that a token belongs to an operator with a role.

    :param operators: Operators of the replicated configuration.
    :param bootstrap_token_sha256: Hash of the bootstrap token, if there is one.
    :param token: Token of the request; ``None`` when it carries none.
    :param needed: Role that is required.
    :param customer: Customer concerned; ``None`` for the deployment as a whole.
    :return: Name of the operator, or a failure with code 3201, 3202 or 3203.
    """
    return identify(operators, bootstrap_token_sha256, token).bind(
        lambda operator: require_role(operator, needed, customer)
    )


def check_replacement(
    operators: Sequence[Operator], id: OperatorId, replacement: Operator | None
) -> Failure | None:
    """Check that a change does not remove the last administrator of all customers.

    :param operators: Operators of the replicated configuration.
    :param id: Operator that the change replaces or removes.
    :param replacement: Operator after the change; ``None`` if it is removed.
    :return: A failure with code 3204; ``None`` if the change is allowed.
    """
    before = [operator for operator in operators if operator.administers_all()]
    after = [operator for operator in before if operator.id != id]
    if replacement is not None and replacement.administers_all():
        after.append(replacement)
    if before and not after:
        return Failure(code=codes.LAST_ADMINISTRATOR, detail=id)
    return None

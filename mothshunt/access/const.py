"""Constants of the access slice."""

from mothshunt.core.types import OperatorId

#: Stands for all customers in a grant.
ALL_CUSTOMERS = "*"
#: Operator whose token hash is in the settings of the control instances.
BOOTSTRAP_OPERATOR = OperatorId("bootstrap")
#: Random bytes of a new token.
TOKEN_BYTES = 32
TOKEN_PREFIX = "mst_"

"""Constants of the access slice."""

from mothshunt.core.types import OperatorId

#: Value of ``Grant.customer`` for all customers and the deployment as a whole.
ALL_CUSTOMERS = "*"
#: First administrator; its token hash is in the settings of the control instances.
BOOTSTRAP_OPERATOR = OperatorId("bootstrap")
#: Number of random bytes in a new token.
TOKEN_BYTES = 32
TOKEN_PREFIX = "mst_"

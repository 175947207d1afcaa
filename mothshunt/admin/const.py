"""Constants of the administration API."""

MAX_BODY_BYTES = 1024 * 1024

#: Seconds to wait for a commit or a confirmed read when the request names none.
DEFAULT_TIMEOUT_MS = 5_000
MIN_TIMEOUT_MS = 100
MAX_TIMEOUT_MS = 60_000
MS_PER_S = 1_000
#: Seconds to wait for what this instance knows of the voters to be confirmed.
CONFIRM_TIMEOUT_S = 2.0

#: Most records of history or audit in one answer.
DEFAULT_RECORDS = 100
MAX_RECORDS = 1_000

MAX_SUMMARY_LENGTH = 500
#: Most faults of a document in one answer; its detail tells how many there are.
MAX_FAULTS = 1_000

#: Seconds for which reads trust the operators of the last confirmed read.
OPERATORS_FRESH_S = 1.0
#: Seconds for which status reads trust them while no majority answers.
OPERATORS_STALE_S = 600.0

RETRY_AFTER_S = 1.0

ATTR_CUSTOMER = "customer"
ATTR_CHANGE_ID = "change_id"
ATTR_KIND = "kind"
ATTR_NAME = "name"
ATTR_OPERATOR = "operator"
ATTR_VOTER = "voter"
ATTR_INSTANCE = "instance"
ATTR_ZONE = "availability_zone"
ATTR_TARGET = "target"

STATE_LOST = "lost"

METRIC_REQUESTS = "mothshunt_admin_requests_total"
METRIC_REFUSALS = "mothshunt_refusals_total"
METRIC_LATENCY = "mothshunt_admin_request_seconds"

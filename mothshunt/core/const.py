"""Constants that several slices use."""

HEADER_CODE = "Mothshunt-Code"
HEADER_RAN = "Mothshunt-Ran"
HEADER_DEADLINE_MS = "Mothshunt-Deadline-Ms"
HEADER_REQUEST_ID = "Mothshunt-Request-Id"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_RETRY_AFTER = "Retry-After"

PATH_LOOKUP = "/v1/lookup"
PATH_ANNOUNCE = "/v1/targets/announce"
PATH_LEAVE = "/v1/targets/leave"
PATH_SERVICES = "/v1/services"

#: Maximum length of the identifier of an instance, customer, service, target or key,
#: in characters.
MAX_ID_LENGTH = 64
ID_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"

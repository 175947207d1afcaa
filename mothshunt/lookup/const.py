"""Constants of the lookup slice."""

#: Most entry instances that an answer names.
ENTRIES_MAX = 4
#: Groups over which blocks of clients are spread; bounds what is kept ready.
GROUPS = 8192
#: Bits of a client's address that name its block.
IPV4_BLOCK_BYTES = 3
IPV6_BLOCK_BYTES = 6

#: Share of clients for an entry in the same availability zone, relative to one in
#: another zone of the region.
SAME_ZONE_WEIGHT = 4.0
#: Load of an entry over the mean of its region at which its weight is halved.
HIGH_LOAD_RATIO = 1.5
#: Load over the mean below which a halved weight is made whole again.
NORMAL_LOAD_RATIO = 1.1
#: Requests in flight under which an entry is never called loaded.
HIGH_LOAD_FLOOR = 20

#: Queries whose answer is kept.
KEPT_ANSWERS_MAX = 4096

PARAM_CUSTOMER = "customer"
PARAM_SERVICE = "service"
PARAM_CLIENT = "client"

ATTR_ENTRIES = "entries"
ATTR_INSTANCE = "instance"
ATTR_HOST = "host"
ATTR_PORT = "port"
ATTR_REGION = "region"
ATTR_AVAILABILITY_ZONE = "availability_zone"
ATTR_LIFETIME_MS = "lifetime_ms"

METRIC_LOOKUPS = "mothshunt_directory_lookups_total"
#: Look-ups that find no entry instance are told in one line for this time, in seconds,
#: as all callers ask at once when none is left.
UNANSWERED_LOG_INTERVAL_S = 1.0
#: Time to come back after a look-up that could not be answered, in seconds.
RETRY_AFTER_S = 1.0

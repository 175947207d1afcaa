"""Constants of look-ups."""

#: Most entry instances in an answer.
MAX_ENTRIES_PER_ANSWER = 4
#: Number of groups into which client address blocks are hashed; bounds the cache of
#: answers.
CLIENT_GROUP_COUNT = 8192
#: Length of the address prefix that identifies a client's block, in bytes.
IPV4_BLOCK_BYTES = 3
IPV6_BLOCK_BYTES = 6

#: Weight of an entry instance in the availability zone of the asked instance; those in
#: other zones have a weight of 1.
SAME_ZONE_WEIGHT = 4.0
#: Multiple of the mean load of its region above which an entry instance counts as
#: overloaded; its weight is halved.
OVERLOAD_RATIO = 1.5
#: Multiple of the mean load at or below which an overloaded entry instance gets its
#: full weight back.
OVERLOAD_END_RATIO = 1.1
#: Requests in flight below which an entry instance never counts as overloaded.
MIN_OVERLOAD_REQUESTS = 20

#: Most queries whose answer is cached.
MAX_CACHED_ANSWERS = 4096

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
#: Shortest time between two log lines on look-ups that found no entry instance, in
#: seconds. All callers ask at once when none is left, so a line sums up many look-ups.
UNANSWERED_LOG_INTERVAL_S = 1.0
#: Retry-after time of a look-up that could not be answered, in seconds.
RETRY_AFTER_S = 1.0

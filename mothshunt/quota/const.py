"""Constants of the quota slice."""

#: Window in which the bound on the requests of a workspace is stated, in seconds.
WINDOW_S = 5.0
#: Part of rate and burst by which the requests of a window may exceed the quota.
OVERAGE = 0.1
#: Requests by which those of a window may exceed the quota besides.
SLACK = 20
#: Time after the request for a token up to which it may be used, in seconds. It bounds
#: how many tokens of earlier windows are used in one.
TOKEN_LIFETIME_S = 0.5
#: Longest wait for a control instance to answer a token request, in seconds: a few
#: round trips between regions.
TOKEN_TIMEOUT_S = 0.15
#: Longest time for which a request waits for a token, in seconds: a round trip to each
#: of five control instances, most of them in other regions, and ``MAX_TOKEN_WAIT_S``.
MAX_WAIT_S = 0.5
#: The same, as a share of the time left until the deadline of the request.
MAX_WAIT_SHARE = 0.25
#: Requests of one workspace that wait for a token at one entry instance.
MAX_WAITING = 1_000
#: Most tokens that one message asks for besides those of waiting requests. One lost
#: answer costs no more than that.
MAX_EXTRA_TOKENS = 32
#: Time for whose requests tokens are asked for ahead, in seconds. It is below
#: ``TOKEN_LIFETIME_S``, so that few of them end unused.
EXTRA_S = 0.35
#: Requests a second of a workspace at one entry instance from which on tokens are
#: fetched before they are needed. At this rate one of 30 tokens would end unused.
MIN_PREFETCH_PER_S = 8.0
#: Time for which no tokens are asked for ahead of need after some were denied, in
#: seconds.
PREFETCH_PAUSE_S = 0.5
#: Tokens that a control instance holds beyond its share of the burst. With 7 control
#: instances they are 14 of the slack of 20.
SPARE_TOKENS = 2.0
#: Part of a full bucket that is kept for waiting requests: tokens ahead of need come
#: from what is above it.
RESERVED_PART = 0.5
#: Time over which the rate of requests is averaged, in seconds.
RATE_AVERAGE_S = 2.0
#: Shortest time for which an entry instance rejects the requests of a workspace without
#: asking, after all control instances have denied tokens, in seconds.
MIN_CLOSED_S = 0.1
#: Time to an answer up to which a control instance is asked while a workspace is over
#: its quota, in seconds: requests are rejected without a wait for other regions.
FAST_REPLY_S = 0.025
#: Time between two inquiries at the other control instances while a workspace is over
#: its quota, in seconds.
INQUIRY_INTERVAL_S = 1.0
#: Time without requests after which a workspace isn't taken to be over its quota any
#: more, in seconds.
OVER_RETENTION_S = 3.0
#: Longest wait for the next token after all control instances have denied one, in
#: seconds. The time that they state is longer where a workspace is over its quota, and
#: a request is rejected without a wait.
MAX_TOKEN_WAIT_S = 0.25
#: Longest retry time that is stated to callers over the quota, in seconds.
MAX_RETRY_S = 5.0
#: Retry time where no control instance can issue tokens, in seconds.
UNAVAILABLE_RETRY_S = 0.5
#: Age of the last confirmation by a majority from which on a control instance issues no
#: tokens, in seconds: it may have been replaced. It outlasts a lost leader: a time-out
#: of a confirmation (2 s), a pause (1.2 s), an election (2.4 s), and a second round of
#: votes.
MAX_CONFIRMED_AGE_S = 8.0
#: Entries of a log that has just been founded, at most. A log with quotas has more
#: when a member is added to it: those of the founding, a change of the configuration
#: and that of the new member.
MAX_FOUNDING_ENTRIES = 3
#: Time between two looks at whether this instance has become a control instance, in
#: seconds.
MEMBER_CHECK_INTERVAL_S = 0.05
#: Time between two looks at the number of control instances, in seconds.
SHARE_CHECK_INTERVAL_S = 0.5
#: Time for which the tokens of a workspace that has been removed are remembered, in
#: seconds; it is longer than window and life of a token together, so that one that is
#: set again within a window doesn't start afresh.
REMOVED_RETENTION_S = 6.0
#: Number of workspaces that metrics and log lines name.
MAX_REPORTED_WORKSPACES = 20
#: Name under which metrics show the other workspaces.
OTHER_WORKSPACES = "other"
#: Time between two log lines on rejected requests, in seconds.
REPORT_INTERVAL_S = 10.0

#: Requests admitted under a quota, by workspace.
METRIC_ADMITTED = "mothshunt_quota_admitted_total"
#: Requests rejected because of a quota, by workspace.
METRIC_DENIED = "mothshunt_quota_denied_total"
#: Tokens that an entry instance asked for, by workspace.
METRIC_REQUESTED = "mothshunt_quota_tokens_requested_total"
#: Tokens that a control instance issued, by workspace.
METRIC_ISSUED = "mothshunt_quota_tokens_issued_total"
#: Token requests of an entry instance, by result.
METRIC_TOKEN_REQUESTS = "mothshunt_quota_token_requests_total"
#: Time until the answer to a token request.
METRIC_TOKEN_SECONDS = "mothshunt_quota_token_seconds"
#: Share of each quota that a control instance issues.
METRIC_SHARE = "mothshunt_quota_share"

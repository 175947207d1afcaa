"""Constants of the discovery slice."""

#: Time after which a target is asked to announce itself again.
RENEW_INTERVAL_MS = 1000
#: Time after which a target without a new announcement is removed, and the targets of
#: an unreachable entry instance.
LEASE_S = 5.0
#: Time for which the row of a target that left is kept, so that delayed rows do not
#: restore the target.
LEFT_RETENTION_S = 600.0
#: Time between two messages in which an entry instance sends changed rows and loads.
FLUSH_INTERVAL_S = 0.2
#: Shortest time between two loads that an entry instance sends of one target.
LOAD_INTERVAL_S = 1.0
#: Time between two messages in which an entry instance sends all of its rows.
FULL_ROWS_INTERVAL_S = 5.0
MAX_ANNOUNCEMENT_BYTES = 16 * 1024
SWEEP_INTERVAL_S = 1.0
#: Time between two messages with all rows of attached instances to the other control
#: instances.
FULL_RELAY_INTERVAL_S = 30.0
#: Time between two messages of a control instance with load reports.
LOAD_FLUSH_INTERVAL_S = 0.5
#: Load reports that a control instance forwards in one flush.
LOADS_PER_FLUSH = 60

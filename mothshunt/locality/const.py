"""Constants of the locality slice."""

#: One of this number of objects is observed; the same ones at all instances.
SAMPLE_DIVISOR = 8
#: Objects of a service that one entry instance reports in an interval.
MAX_REPORTED_OBJECTS = 64
#: Objects that a control instance remembers, of all services.
MAX_KNOWN_OBJECTS = 20_000
#: Time between two reports of an entry instance and of a control instance, in seconds.
REPORT_INTERVAL_S = 1.0
#: Time after its last request for which an object counts, in seconds: most objects are
#: requested again sooner, and the callers of one that moved are soon forgotten.
RETENTION_S = 10.0
#: Observed objects from which on a service's objects are taken for regional or shared.
MIN_OBJECTS = 12
#: Share of objects requested in one region only above which objects are regional, ...
REGIONAL_SHARE = 0.8
#: ... and below which they are shared by the regions.
SHARED_SHARE = 0.6
#: Time for which the summary of a control instance is used, in seconds.
SUMMARY_LIFETIME_S = 5.0

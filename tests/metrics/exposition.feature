Feature: Metrics are exposed in the Prometheus text format
  Guards against metrics that a monitoring system can't read or reads with wrong
  values: the text is read by the parser of the Prometheus client library.

  Scenario: A Prometheus parser reads counters, gauges and histograms
    Histograms are the likeliest fault: bucket counts have to be cumulative, and the
    sum comes from recorded values that are rounded to two digits.
    Given metrics of a process
    When 3 requests of service "stock" with kind "idempotent" end as "answered" after 30 ms
    And 1 requests of service "stock" with kind "idempotent" end as "answered" after 700 ms
    And 2 requests of service "stock" with kind "idempotent" end as "refused" after 2 ms
    Then the parser finds the counter "requests" at 4 with outcome "answered"
    And the parser finds the counter "requests" at 2 with outcome "refused"
    And the parser finds the gauge "revision" at 17
    And the parser finds 3 of 4 "answered" requests within 0.05 s
    And the parser finds 4 of 4 "answered" requests within 1.0 s
    And the parser finds a sum of 0.79 s for "answered" requests, within 2 %
    And the parser finds 12 bytes of the message "roster"

  Scenario: Label values with special characters are read back unchanged
    Without escaping, a quote, a backslash or a line feed in a label value breaks
    the line, and the parser rejects the text.
    Given metrics of a process
    When a label holds a quote, a backslash and a line feed
    Then the parser reads it back as it was

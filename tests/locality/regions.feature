Feature: Objects that the callers of one region request have their target in that region

  Load: 80 entry instances in three regions, each sees a service about five times a second,
  and each object is requested in one region only. Guards against objects that have their
  target in another region than their callers: the way there, and a new connection, take
  longer than the target latency.

  Scenario: The regions of objects are known after some seconds
    Given 78 entry instances in 3 regions that request 400 objects of one region each
    When they report for 6 s
    Then all entry instances take the objects for regional

  Scenario: Objects that all regions request are shared
    Given 78 entry instances in 3 regions that request 400 objects of all regions
    When they report for 6 s
    Then all entry instances take the objects for shared

  Scenario: Before anything is known objects are regional
    Given 78 entry instances in 3 regions that request 400 objects of all regions
    When they report for 0 s
    Then all entry instances take the objects for regional

  Scenario: A control instance that was restarted changes nothing
    Given 78 entry instances in 3 regions that request 400 objects of all regions
    When they report for 6 s
    And one of two control instances is restarted and 1 s passes
    Then all entry instances take the objects for shared

  Scenario: What is exchanged is bounded
    Given 78 entry instances in 3 regions that request 100000 objects of all regions
    When they report for 3 s
    Then no report has more than 64 objects

  Scenario: Regional objects begin in the own region, others in all regions
    Then a placement with regional objects sends none of 100 objects to another region
    And a placement with shared objects sends some of 100 objects to another region

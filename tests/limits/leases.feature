Feature: Leased shares follow demand and expire on time
  Entry instances hold shares of a limit for the time of a lease. The limit is exceeded
  if a share is used after its lease or granted twice; capacity is wasted if a share
  stays with an instance that has no use for it.

  Scenario: The static shares of all seats add up to the reserved part
    Then the static shares of 4 seats of a limit from 0 to 200 add up to a quarter of it
    And an entry instance of another region or with a fifth seat has none

  Scenario: An entry instance that was suspended past its lease starts nothing with it
    The process is suspended between the acquisition of a permit and the sending of its
    request. Its share may have been granted to another instance meanwhile.
    Given holders "n0" and "n1" under a region capacity of 40
    When "n0" renews until 20 of its requests are in flight
    And "n0" has a permit whose request is not sent yet
    And 6 seconds pass for the holders
    Then "n0" may start 0 more requests
    And "n0" may not send the request of that permit
    When "n0" renews
    Then "n0" may send the request of that permit

  Scenario: A lease starts when its renewal is sent, not when the answer arrives
    The leader counts the lease from when it answers. A holder that counted from the
    arrival of a late answer would use the share for longer than the leader expects.
    Given holders "n0" and "n1" under a region capacity of 40
    When "n0" renews until 20 of its requests are in flight
    And the answer to a renewal of "n0" takes 4 seconds
    Then "n0" may start more requests
    When 2 seconds pass for the holders
    Then "n0" may start 0 more requests
    When the answer to a renewal of "n0" takes 6 seconds
    Then "n0" may start 0 more requests

  Scenario: An unused share moves to the holder that has demand
    Given holders "n0" and "n1" under a region capacity of 40
    When "n0" renews until 20 of its requests are in flight
    And "n0" ends all its requests
    And both renew each second for 2 seconds while "n1" tries to run 25 requests
    Then "n1" has at least 25 requests in flight

  Scenario: After a limit is lowered, no share grows until others have shrunk
    The requests that are in flight when the limit is lowered may already use all of it.
    Given holders "n0" and "n1" under a region capacity of 40
    When "n0" renews until 20 of its requests are in flight
    And the region capacity is lowered to 16
    And "n0" renews
    Then "n0" may start 0 more requests
    When "n1" tries to run 10 requests and renews
    Then "n1" has at most 1 requests in flight
    When "n0" ends all its requests
    And "n0" renews
    And "n1" tries to run 10 requests and renews
    Then both together have at most 16 requests in flight

  Scenario: A new leader increases no share before every holder has sent a renewal
    It does not know which shares the previous leader granted until the holders report
    them.
    Given holders "n0" and "n1" under a region capacity of 40
    When "n0" renews until 20 of its requests are in flight
    And a new leader is elected
    And "n1" tries to run 30 requests and renews
    Then "n1" has at most 3 requests in flight
    When "n0" renews
    Then "n0" still has a share of at least 20
    When both renew each second for 2 seconds while "n1" tries to run 30 requests
    Then "n1" has at least 5 requests in flight
    And both together have at most 40 requests in flight

  Scenario: The share of a holder that stops renewing is withheld until its requests end
    Its requests may still run at targets after the lease has ended, for at most the
    request timeout.
    Given holders "n0" and "n1" under a region capacity of 40
    When "n0" renews until 20 of its requests are in flight
    And 6 seconds pass for the holders
    And "n1" tries to run 40 requests and renews
    Then "n1" has at most 15 requests in flight
    When 2 seconds pass for the holders
    And "n1" tries to run 40 requests and renews
    Then "n1" has at least 25 requests in flight

  Scenario: A new process of an instance is not granted the share of the old one
    The old process may still use its lease, for example while it is cut off from the
    control instances.
    Given holders "n0" and "n1" under a region capacity of 40
    When "n0" renews until 20 of its requests are in flight
    And "n0" is replaced by a new process while the old one keeps running
    And the new "n0" tries to run 30 requests and renews
    Then the new "n0", the old one and "n1" together use at most 40, static shares counted once

  Scenario: The needs of a region's own entry instances precede the demand of others
    If there is less than one request per holder, rounding must not favour the same
    holders in each lease period.
    Then 12 requests divided between a local need of 10 and a remote demand of 8 give 10 and 2
    And 2 requests divided among 9 holders reach each holder about equally over 500 lease periods

  Scenario: Shifted traffic grows and shrinks by at most one step per interval
    Then a shift cap of 30 in steps of 10 allows 10, 20, 30 and 30 while fully used
    And it allows 20 and 10 once no request is shifted

  Scenario: Only a confirmed leader grants, and a follower forwards a renewal only once
    A deposed leader that still granted would grant shares twice; followers that forward
    a renewal to each other would send it round in circles.
    Given a control instance that takes itself for the leader but reaches no majority
    Then a renewal sent to it is refused
    Given a control instance that follows another leader
    Then a renewal sent to it is forwarded, and a forwarded one is refused

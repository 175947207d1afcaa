Feature: A request that may not be repeated is handed to one connection once

  Scenario Outline: A target that closes after reading gets a request once
    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that answers
    When a dispatch caller uploads 10 bytes with <method> "/orders/7"
    Then the dispatch caller got code 2013 with ran unknown
    And target "t1" was reached 1 times
    And target "t2" was reached 0 times

    Examples:
      | method |
      | PUT    |
      | POST   |
      | DELETE |

  Scenario: A read on a connection that closes goes to another target only
    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/orders/7"
    Then the dispatch caller got status 200 and "t2 /orders/7"
    And target "t1" was reached 1 times

  Scenario: A PUT that the contract calls idempotent is sent once to each target
    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that answers
    When a dispatch caller uploads 10 bytes with PUT "/status/7"
    Then the dispatch caller got status 200 and "t2 /status/7"
    And target "t1" was reached 1 times
    And the dispatch counter mothshunt_retries_total with reason "broken" is 1

  Scenario: A path that a target may read as another one may not be repeated
    Given a dispatch entry
    And a raw target "t1" that closes after reading
    And a raw target "t2" that answers
    When a dispatch caller uploads 10 bytes with PUT "/status/%2e%2e/orders"
    Then the dispatch caller got code 2013 with ran unknown

  Scenario: Requests that may not be repeated never share a connection
    Given a dispatch entry
    And a raw target "t1" that answers
    When a dispatch caller sends GET "/a"
    And a dispatch caller uploads 10 bytes with POST "/orders"
    And a dispatch caller uploads 10 bytes with POST "/orders"
    Then target "t1" saw 3 connections

  Scenario: Nothing was run where no connection could be opened
    Given a dispatch entry
    And a raw target "t1" whose port is closed
    When a dispatch caller uploads 10 bytes with POST "/orders"
    Then the dispatch caller got code 2011 with ran no

  Scenario: A request that was not run goes to another target
    Given a dispatch entry
    And a raw target "t1" whose port is closed
    And a raw target "t2" that sheds
    And a raw target "t3" that answers
    When a dispatch caller uploads 10 bytes with POST "/orders"
    Then the dispatch caller got status 200 and "t3 /orders"
    And the outcomes were "t1 connect_failed, t2 shed, t3 answered"
    And the dispatch counter mothshunt_retries_total with reason "shed" is 1

  Scenario: A request that every target sheds is given up at once
    Given a dispatch entry
    And a raw target "t1" that sheds
    When a dispatch caller uploads 10 bytes with POST "/orders"
    Then the dispatch caller got code 2012 with ran no
    And the dispatch caller is told to come back after 7 s

  Scenario: A request whose room ended before it was sent is not sent
    Given a dispatch entry
    And a raw target "t1" that answers
    And the room for dispatched requests ends before they are sent
    When a dispatch caller uploads 10 bytes with PUT "/orders/7"
    Then the dispatch caller got code 2017 with ran no
    And target "t1" was reached 0 times

  Scenario Outline: A caller that repeats a PUT by itself is given no cause to
    Given a dispatch entry
    And a raw target "t1" that <behaviour>
    When a dispatch caller whose library repeats requests sends PUT "/orders/7" 20 times
    Then target "t1" was reached 20 times

    Examples:
      | behaviour                   |
      | closes after reading        |
      | sends a short body          |
      | sends chunks without an end |
      | breaks off a large answer   |

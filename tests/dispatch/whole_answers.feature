Feature: A late, doubled or truncated answer never looks like a whole one

  Scenario Outline: A truncated answer to a read is asked for elsewhere
    Given a dispatch entry
    And a raw target "t1" that <behaviour>
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller got status 200 and "t2 /a"
    And the dispatch counter mothshunt_retries_total with reason "truncated" is 1

    Examples:
      | behaviour                   |
      | sends a short body          |
      | sends chunks without an end |
      | sends an unframed body      |

  Scenario: A malformed answer to a read is asked for elsewhere
    Given a dispatch entry
    And a raw target "t1" that sends broken chunks
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller got status 200 and "t2 /a"
    And the outcomes were "t1 broken, t2 answered"

  Scenario Outline: A truncated answer to an order is told or broken off
    Given a dispatch entry
    And a raw target "t1" that <behaviour>
    And a raw target "t2" that answers
    When a dispatch caller uploads 10 bytes with POST "/orders"
    Then the dispatch caller got no whole answer
    And target "t2" was reached 0 times

    Examples:
      | behaviour                   |
      | sends a short body          |
      | sends chunks without an end |
      | sends an unframed body      |
      | sends broken chunks         |

  Scenario: A large answer that breaks off breaks the caller's connection
    Given a dispatch entry
    And a raw target "t1" that breaks off a large answer
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller's connection was visibly broken
    And target "t2" was reached 0 times

  Scenario: A second answer is not given to the next caller
    Given a dispatch entry
    And a raw target "t1" that answers twice
    When a dispatch caller sends GET "/first"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/second"
    Then the dispatch caller got status 200 and "t1 /second"

  Scenario: A second answer that comes soon is not given to the next caller
    Given a dispatch entry
    And a raw target "t1" that answers twice, the second time soon
    When a dispatch caller sends GET "/first"
    And a dispatch caller sends GET "/second"
    Then the dispatch caller got status 200 and "t1 /second"
    When a dispatch caller sends GET "/third"
    Then the dispatch caller got status 200 and "t1 /third"

  Scenario Outline: A second answer that waits for the next request reaches nobody

    Pattern: a target in trouble sends its answer again, late, on a connection that
    carries the next caller's request by then.

    Given a dispatch entry
    And a raw target "t1" that <sends>
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/first"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/second"
    Then the dispatch caller got its own answer to "/second"
    When 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/third"
    Then the dispatch caller got its own answer to "/third"

    Examples: with ids, without, and without any more
      | sends                                                |
      | sends an earlier answer before its own               |
      | sends an earlier answer before its own, without ids  |
      | sends an earlier answer without an id before its own |

  Scenario: A target that repeats no ids gets a connection for each request
    Given a dispatch entry
    And a raw target "t1" that answers without the id of the request
    When a dispatch caller sends GET "/first"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/second"
    Then the dispatch caller got status 200 and "t1 /second"
    And target "t1" saw 2 connections

  Scenario: An answer that comes after the time-out reaches nobody
    Given a dispatch entry with a request timeout of 200 ms
    And a raw target "t1" that answers the first request late
    When a dispatch caller sends GET "/late"
    Then the dispatch caller got code 2014 with ran unknown
    When a dispatch caller sends GET "/next"
    Then the dispatch caller got status 200 and "t1 /next"
    When 400 ms pass at the dispatch entry
    And a dispatch caller sends GET "/last"
    Then the dispatch caller got status 200 and "t1 /last"

  Scenario: A connection whose request timed out is not used again
    Given a dispatch entry with a request timeout of 200 ms
    And a raw target "t1" that never answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller got code 2014 with ran unknown
    And target "t1" lost its connection

  Scenario: A large answer that outlasts the deadline breaks the caller's connection
    Given a dispatch entry with a request timeout of 300 ms
    And a raw target "t1" that goes silent in a large answer
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller's connection was visibly broken
    And target "t2" was reached 0 times
    And the outcomes were "t1 timed_out"
    And the dispatch counter mothshunt_answers_broken_off_total with customer "rackhaven" is 1

  Scenario: A kept-alive connection that goes silent costs an idempotent request little
    Given a dispatch entry
    And a raw target "t1" that answers the first request of a connection only
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t2 /b"
    And the last dispatch answer took less than 4500 ms
    And the dispatch counter mothshunt_retries_total with reason "silent" is 1
    When a dispatch caller sends GET "/c"
    Then the dispatch caller got status 200 and "t1 /c"
    And target "t1" saw 2 connections

  Scenario: A slow read over a kept-alive connection gets its answer, with one target only
    Given a dispatch entry
    And a raw target "t1" that is slow after its first request
    When a dispatch caller sends GET "/a"
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"

  Scenario: A read that takes longer than usual is answered before its deadline
    Given a dispatch entry with a request timeout of 2000 ms
    And a raw target "t1" that answers in 60 ms once and in 1500 ms later
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"
    And the last dispatch answer took less than 1900 ms

  Scenario: A connection that goes silent is not held against its target
    Given a dispatch entry
    And a raw target "t1" that answers the first request of a connection only
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"
    And the outcomes were "t1 answered, t1 answered, t1 cancelled"

  Scenario: A slow answer is waited for where there is no room for another attempt
    Given a dispatch entry with a request timeout of 2000 ms
    And room for 1 attempts at all targets together
    And a raw target "t1" that is slow after its first request
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"
    And the last dispatch answer took less than 800 ms

  Scenario: A much slower answer is waited for where there is no room for another attempt
    Given a dispatch entry with a request timeout of 2000 ms
    And room for 1 attempts at all targets together
    And a raw target "t1" that answers in 60 ms once and in 1500 ms later
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"
    And the last dispatch answer took less than 1900 ms

  Scenario: A silent connection gives its room back where there is none for another
    Given a dispatch entry with a request timeout of 2000 ms
    And room for 1 attempts at all targets together
    And a raw target "t1" that answers the first request of a connection only
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"
    And the last dispatch answer took less than 2000 ms

  Scenario: Without a retry left a kept-alive connection is waited for
    Given a dispatch entry without retries and a request timeout of 700 ms
    And a raw target "t1" that answers the first request of a connection only
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got code 2014 with ran unknown
    And the dispatch counter mothshunt_retries_given_up_total with why "deadline" is 1

  Scenario: A caller that leaves during an answer is not held against the target
    Given a dispatch entry
    And a raw target "t1" that answers without an end
    When a dispatch caller leaves 300 ms after GET "/a"
    Then the outcomes were "t1 cancelled"
    And target "t1" lost its connection

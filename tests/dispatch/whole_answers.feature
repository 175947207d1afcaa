Feature: A late, duplicate or truncated response is never taken for a complete one

  Guards against callers that get another caller's response, or a part of a response
  that looks complete.

  Scenario Outline: A GET is retried at another target after a truncated response

    The response ends before its stated length or last chunk, or states neither.

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

  Scenario Outline: A GET is retried at another target after a malformed response

    The target sends an invalid chunk size after the first chunk, or an invalid status.

    Given a dispatch entry
    And a raw target "t1" that <answers>
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller got status 200 and "t2 /a"
    And the outcomes were "t1 broken, t2 answered"

    Examples:
      | answers             |
      | sends broken chunks |
      | answers 000         |

  Scenario Outline: A truncated response to a POST is reported as an error or broken off

    The request may have been run, so it can't be retried.

    Given a dispatch entry
    And a raw target "t1" that <behaviour>
    And a raw target "t2" that answers
    When a dispatch caller uploads 10 bytes with POST "/orders"
    Then the dispatch caller got no complete response
    And target "t2" was reached 0 times

    Examples:
      | behaviour                   |
      | sends a short body          |
      | sends chunks without an end |
      | sends an unframed body      |
      | sends broken chunks         |

  Scenario: A large response that breaks off breaks the caller's connection

    A part of it was already sent to the caller, so only a broken connection can show that
    the rest is missing.

    Given a dispatch entry
    And a raw target "t1" that breaks off a large answer
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller's connection closed before the end of the response
    And target "t2" was reached 0 times

  Scenario: A duplicate response is not sent to the next caller

    The target sends its response twice on a kept-alive connection, the second time while
    the connection is idle.

    Given a dispatch entry
    And a raw target "t1" that answers twice
    When a dispatch caller sends GET "/first"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/second"
    Then the dispatch caller got status 200 and "t1 /second"

  Scenario: A duplicate response that follows closely is not sent to the next caller

    It may arrive after the next request was sent if the connection is reused at once.

    Given a dispatch entry
    And a raw target "t1" that answers twice, the second time soon
    When a dispatch caller sends GET "/first"
    And a dispatch caller sends GET "/second"
    Then the dispatch caller got status 200 and "t1 /second"
    When a dispatch caller sends GET "/third"
    Then the dispatch caller got status 200 and "t1 /third"

  Scenario Outline: A duplicate response that is sent after the next request reaches no caller

    A faulty target sends an earlier response again, late, on a connection that carries
    the next caller's request by then.

    Given a dispatch entry
    And a raw target "t1" that <sends>
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/first"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/second"
    Then the dispatch caller got its own response to "/second"
    When 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/third"
    Then the dispatch caller got its own response to "/third"

    Examples: with ids, without, and without any more
      | sends                                                |
      | sends an earlier answer before its own               |
      | sends an earlier answer before its own, without ids  |
      | sends an earlier answer without an id before its own |

  Scenario: A target that does not repeat request ids gets a connection per request

    Without the ids, a duplicate response could not be detected on a reused connection.

    Given a dispatch entry
    And a raw target "t1" that answers without the id of the request
    When a dispatch caller sends GET "/first"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/second"
    Then the dispatch caller got status 200 and "t1 /second"
    And target "t1" saw 2 connections

  Scenario: A response that arrives after the time-out reaches no caller

    On a reused connection it would be taken for the response to the next request.

    Given a dispatch entry with a request timeout of 200 ms
    And a raw target "t1" that answers the first request late
    When a dispatch caller sends GET "/late"
    Then the dispatch caller got code 2014 with ran unknown
    When a dispatch caller sends GET "/next"
    Then the dispatch caller got status 200 and "t1 /next"
    When 400 ms pass at the dispatch entry
    And a dispatch caller sends GET "/last"
    Then the dispatch caller got status 200 and "t1 /last"

  Scenario: A connection whose request timed out is closed

    The response may still arrive on it.

    Given a dispatch entry with a request timeout of 200 ms
    And a raw target "t1" that never answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller got code 2014 with ran unknown
    And the connection to target "t1" was closed

  Scenario: A large response that exceeds the deadline breaks the caller's connection

    The target stops sending in the middle of the response, of which the caller already
    has a part.

    Given a dispatch entry with a request timeout of 300 ms
    And a raw target "t1" that goes silent in a large answer
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/a"
    Then the dispatch caller's connection closed before the end of the response
    And target "t2" was reached 0 times
    And the outcomes were "t1 timed_out"
    And the dispatch counter mothshunt_answers_broken_off_total with customer "rackhaven" is 1

  Scenario: A truncated response of unknown length is reset for a caller of HTTP/1.0

    Guards against a part of a response that looks complete, as the close of the
    connection is the only end that such a caller knows.

    Given a dispatch entry
    And a raw target "t1" that sends chunks without an end
    When a dispatch caller that speaks HTTP/1.0 sends POST "/a"
    Then the dispatch caller's connection was reset

  Scenario: An idempotent request on a lost kept-alive connection is retried in time

    The connection is lost without an error. The request must not wait for its deadline;
    later requests must not use the other connections that were open to the target.

    Given a dispatch entry
    And a raw target "t1" that answers the first request of a connection only
    And a raw target "t2" that answers
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t2 /b"
    And the last dispatch response took less than 4500 ms
    And the dispatch counter mothshunt_retries_total with reason "silent" is 1
    When a dispatch caller sends GET "/c"
    Then the dispatch caller got status 200 and "t1 /c"
    And target "t1" saw 2 connections

  Scenario: A slow GET over a kept-alive connection is answered by the only target

    The target is slower than before, but its connection works.

    Given a dispatch entry
    And a raw target "t1" that is slow after its first request
    When a dispatch caller sends GET "/a"
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"

  Scenario: A GET that takes longer than usual is answered before its deadline

    The first attempt must continue while a second one is made. If it were cancelled, the
    response to the second one would come too late.

    Given a dispatch entry with a request timeout of 2000 ms
    And a raw target "t1" that answers in 60 ms once and in 1500 ms later
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"
    And the last dispatch response took less than 1900 ms

  Scenario: A lost connection does not count as a failure of its target

    The target itself works and must stay in use.

    Given a dispatch entry
    And a raw target "t1" that answers the first request of a connection only
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"
    And the outcomes were "t1 answered, t1 answered, t1 cancelled"

  Scenario: A slow response is waited for if there is no permit for a second attempt

    The silent attempt holds the only permit. Cancelling it would lose its response.

    Given a dispatch entry with a request timeout of 2000 ms
    And permits for 1 attempts at all targets together
    And a raw target "t1" that is slow after its first request
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"
    And the last dispatch response took less than 800 ms

  Scenario: A much slower response is waited for if there is no permit for a second attempt

    The response takes most of the time to the deadline.

    Given a dispatch entry with a request timeout of 2000 ms
    And permits for 1 attempts at all targets together
    And a raw target "t1" that answers in 60 ms once and in 1500 ms later
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"
    And the last dispatch response took less than 1900 ms

  Scenario: An attempt on a lost connection releases the only permit before the deadline

    The second attempt needs the permit and enough time for a usual response.

    Given a dispatch entry with a request timeout of 2000 ms
    And permits for 1 attempts at all targets together
    And a raw target "t1" that answers the first request of a connection only
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got status 200 and "t1 /b"
    And the last dispatch response took less than 2000 ms

  Scenario: A silent kept-alive connection is waited for if no retry is left

    Without a retry nothing could follow a cancelled attempt.

    Given a dispatch entry without retries and a request timeout of 700 ms
    And a raw target "t1" that answers the first request of a connection only
    When a dispatch caller sends GET "/a"
    And 60 ms pass at the dispatch entry
    And a dispatch caller sends GET "/b"
    Then the dispatch caller got code 2014 with ran unknown
    And the dispatch counter mothshunt_retries_given_up_total with why "deadline" is 1

  Scenario: A caller that disconnects during a response does not count as a target's failure

    Otherwise callers could have a healthy target taken out of use.

    Given a dispatch entry
    And a raw target "t1" that answers without an end
    When a dispatch caller leaves 300 ms after GET "/a"
    Then the outcomes were "t1 cancelled"
    And the connection to target "t1" was closed

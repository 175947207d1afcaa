Feature: Streams between instances carry messages of authenticated peers only
  Each end of a stream proves that it has the deployment key before anything else is
  decoded. Bad frames, failing handlers and lost streams must not disconnect instances
  for good.

  Scenario: A request is answered over an authenticated stream
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    Then a request from "a1" to "b1" is answered
    And a request from "b1" to "a1" is answered
    And "a1" and "b1" count the same bytes sent and received

  Scenario: A peer with a different key is refused and none of its data is decoded
    Given instances "a1" and "b1" that hold different keys
    When "a1" dials "b1"
    Then "b1" counts "peer_handshake_failed"
    And no message reached "b1"

  Scenario: A frame over the size limit closes the stream, which is dialled again
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    And "a1" sends a frame over the size limit to "b1"
    Then "b1" counts "peer_frame_too_large"
    And a request from "a1" to "b1" is answered

  Scenario: A malformed frame closes the stream, which is dialled again
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    And "a1" sends a malformed frame to "b1"
    Then "b1" counts "peer_frame_malformed"
    And a request from "a1" to "b1" is answered

  Scenario: A waiting request fails with an unknown outcome when its stream closes
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    And "b1" stops while a request from "a1" waits
    Then the request fails with code 1106

  Scenario: A stop with open streams causes no errors in the event loop
    The tasks of accepted streams must end before the event loop does: asyncio reports
    an error for each server task that is cancelled at its end.

    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    Then a request from "a1" to "b1" is answered
    When "b1" stops and its event loop ends
    Then the event loop reported no error

  Scenario: The rate of handshakes is limited
    After a common failure, such as the loss of a region, many peers reconnect at the
    same time.

    Given a rate limit for handshakes
    When 1000 handshakes begin and end at the same time
    Then 200 of them are admitted
    And 200 of those that begin 1 s later are admitted

  Scenario: A stream stays open when a message handler fails
    Given instances "a1" and "b1" that share a key
    And the handler of messages at "b1" fails
    When "a1" dials "b1"
    And "a1" posts 3 messages to "b1"
    Then a request from "a1" to "b1" is answered
    And "a1" and "b1" still have their first stream
    And "b1" counts 3 times "handler_failed"

  Scenario: An instance keeps dialling when a listener for new streams fails
    Given instances "a1" and "b1" that share a key
    And the listener for new streams at "a1" fails
    When "a1" dials "b1"
    Then a request from "a1" to "b1" is answered
    When all streams of "b1" are closed
    Then a request from "a1" to "b1" is answered

  Scenario: Malformed frames of an authenticated peer stop no instance
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    Then after each of 300 seeded malformed frames "a1" gets an answer from "b1"

  Scenario: A stream on which a long message arrives slowly stays open
    Guards against a message that is sent anew on each new stream and never arrives.
    Given instances "a1" and "b1" that share a key
    And the link to "a1" carries 100000 bytes a second
    When "a1" dials "b1"
    And "b1" posts a message of 400000 random bytes to "a1"
    Then "a1" receives it within 6 s
    And "a1" counts 0 times "peer_silent"

  Scenario: A peer that takes nothing holds a bounded number of bytes
    Guards against an instance that ends for want of memory: the queue of a stream was
    bounded by the number of messages, whatever their size.
    Given instances "a1" and "b1" that share a key
    And the link to "a1" carries 1000 bytes a second
    When "a1" dials "b1"
    And "b1" posts 100 messages of 1000000 random bytes each to "a1"
    Then at most 8000000 bytes wait at "b1"

  Scenario: Peers that take nothing hold a bounded number of bytes together
    Guards against the sum over hundreds of streams.
    Given instance "b1" with 24 peers whose links carry 1000 bytes a second
    When "b1" posts 12 messages of 1000000 random bytes each to all of them
    Then at most 128000000 bytes wait at "b1"
    And a message of 1000 bytes is still queued for each of them

  Scenario: A large message that already waits for a peer is not queued again
    Guards against copies of one change that fill a slow link.
    Given instances "a1" and "b1" that share a key
    And the link to "a1" carries 100000 bytes a second
    When "a1" dials "b1"
    And "b1" posts one message of 300000 random bytes 40 times to "a1"
    Then at most 400000 bytes wait at "b1"
    And "a1" receives it within 6 s

  Scenario: What waits for peers is reported as it grows
    A process that ends for want of memory has no other way to tell what filled it.
    Given nothing waits to be sent to peers
    When 9000000 bytes wait for "b1" and 1000000 for "b2"
    Then a line reports 10000000 bytes on 2 streams, most of them for "b1"
    When 9000000 bytes wait for "b1" and 9000000 for "b2"
    Then nothing is reported
    When 9000000 bytes wait for "b1" and 12000000 for "b2"
    Then a line reports 21000000 bytes on 2 streams, most of them for "b2"

  Scenario: A message that no peer accepts is not sent
    Guards against a stream that its peer closes for it, again and again.
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    Then "b1" can't post a message of 17000000 equal bytes to "a1"
    And a request from "b1" to "a1" is answered
    And "a1" counts 0 times "peer_frame_too_large"

  Scenario: Damaged, endless and nested compressed frames are refused
    Guards against a peer that fills the memory with a few bytes.
    Then a compressed frame that is "cut short" is refused with code 1103
    And a compressed frame that is "of 20000000 equal bytes" is refused with code 1102
    And a compressed frame that is "nested in another" is refused with code 1103
    And a compressed frame that is "no bytes" is refused with code 1103

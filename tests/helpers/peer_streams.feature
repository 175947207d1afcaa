Feature: Streams between instances carry messages of proven peers only

  Scenario: A request is answered over an authenticated stream
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    Then a request from "a1" to "b1" is answered
    And a request from "b1" to "a1" is answered
    And "a1" and "b1" count the same bytes sent and received

  Scenario: A peer with another key is refused and nothing of it is decoded
    Given instances "a1" and "b1" that hold different keys
    When "a1" dials "b1"
    Then "b1" counts "peer_handshake_failed"
    And no message reached "b1"

  Scenario: A frame over the size limit closes the stream, which is dialled anew
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    And "a1" sends a frame over the size limit to "b1"
    Then "b1" counts "peer_frame_too_large"
    And a request from "a1" to "b1" is answered

  Scenario: A malformed frame closes the stream, which is dialled anew
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    And "a1" sends a malformed frame to "b1"
    Then "b1" counts "peer_frame_malformed"
    And a request from "a1" to "b1" is answered

  Scenario: A request that waits fails when its stream closes, as it may have been seen
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    And "b1" stops while a request from "a1" waits
    Then the request fails with code 1106

  Scenario: A stop with open streams is no error in the logs
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    Then a request from "a1" to "b1" is answered
    When "b1" stops and its event loop ends
    Then the event loop told of no error

  Scenario: Handshakes are admitted by rate after a common loss
    Given an admission of handshakes
    When 1000 handshakes begin and end at one moment
    Then 200 of them are admitted
    And all that begin 1 s later up to 200 are admitted

  Scenario: A message whose handler fails takes no stream down
    Given instances "a1" and "b1" that share a key
    And the handler of messages at "b1" fails
    When "a1" dials "b1"
    And "a1" posts 3 messages to "b1"
    Then a request from "a1" to "b1" is answered
    And "a1" and "b1" have had one stream
    And "b1" counts 3 times "handler_failed"

  Scenario: A listener that fails when a stream opens keeps no instance from dialling
    Given instances "a1" and "b1" that share a key
    And the listener for new streams at "a1" fails
    When "a1" dials "b1"
    Then a request from "a1" to "b1" is answered
    When all streams of "b1" are closed
    Then a request from "a1" to "b1" is answered

  Scenario: Frames of a proven peer that nobody foresaw take no instance down
    Given instances "a1" and "b1" that share a key
    When "a1" dials "b1"
    Then after each of 300 seeded malformed frames "a1" gets an answer from "b1"

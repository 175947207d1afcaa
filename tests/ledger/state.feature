Feature: Every control instance holds the same keys

  Scenario: The entry died between claim and dispatch
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    Then the claim was met with "owned"
    When attempt "b" claims key "k" for request "r"
    Then the claim was met with "in_progress"
    When the claim of attempt "a" on key "k" lapses
    And attempt "b" claims key "k" for request "r"
    Then the claim was met with "unknown"

  Scenario: The entry died between dispatch and answer, and its answer is recorded late
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And the claim of attempt "a" on key "k" lapses
    And attempt "a" records an answer of 5 bytes for key "k"
    And attempt "b" claims key "k" for request "r"
    Then the claim was met with "answered"

  Scenario: A claim sent twice is one claim
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And attempt "a" claims key "k" for request "r"
    Then the claim was met with "owned"
    When attempt "a" records an answer of 5 bytes for key "k"
    And attempt "a" claims key "k" for request "r"
    Then the claim was met with "answered"

  Scenario: An old attempt changes nothing of a newer claim
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And attempt "a" releases key "k" for request "r"
    And attempt "b" claims key "k" for request "r"
    Then the claim was met with "owned"
    When attempt "a" records an answer of 5 bytes for key "k"
    And attempt "a" releases key "k" for request "r"
    And the claim of attempt "a" on key "k" lapses
    And attempt "a" claims key "k" for request "r"
    Then the claim was met with "in_progress"
    When attempt "c" claims key "k" for request "other"
    Then the claim was met with "conflict"

  Scenario: A release that comes before its claim keeps the claim from holding the key
    Given an empty ledger
    When attempt "a" releases key "k" for request "r"
    And attempt "a" claims key "k" for request "r"
    Then the claim was met with "withdrawn"
    When attempt "b" claims key "k" for request "r"
    Then the claim was met with "owned"

  Scenario: A recorded answer is not released
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And attempt "a" records an answer of 5 bytes for key "k"
    And attempt "a" releases key "k" for request "r"
    And attempt "b" claims key "k" for request "r"
    Then the claim was met with "answered"

  Scenario: Keys are bounded by count, and old ones make room
    Given an empty ledger
    When 50000 keys are claimed
    And attempt "a" claims key "k" for request "r"
    Then the claim was met with "full"
    When the keys up to index 50000 expire
    And attempt "a" claims key "k" for request "r"
    Then the claim was met with "owned"
    And the ledger holds 1 key

  Scenario: Answers are bounded by size, one by one and together
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And attempt "a" records an answer of 65537 bytes for key "k"
    And attempt "b" claims key "k" for request "r"
    Then the claim was met with an answer that was not kept
    When 300 answers of 65536 bytes are recorded
    Then the ledger holds at most 16777216 bytes of answers

  Scenario: A snapshot holds everything
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And attempt "a" records an answer of 5 bytes for key "k"
    And attempt "b" claims key "l" for request "r"
    And attempt "c" claims key "m" for request "r"
    And the claim of attempt "c" on key "m" lapses
    And the ledger is restored from its snapshot by way of msgpack
    Then the ledger is as before
    And the ledger still watches 1 claim

  Scenario: Any order of commands runs a request at most once
    Given an empty ledger
    Then no order of 400 random runs of 60 commands gives two attempts the same key

  Scenario: Ages are followed on every control instance, and only the leader proposes
    Given a ledger coordinator that follows
    When a claim that runs 1000 ms is applied
    And the ledger coordinator looks at time 0, 3 and 7
    Then the ledger coordinator has proposed nothing
    When the ledger coordinator leads
    And the ledger coordinator looks at time 8
    Then the ledger coordinator has proposed 1 lapse

  Scenario: Keys expire a day after their claim, by log index
    Given a ledger coordinator that leads
    When a claim that runs 1000 ms is applied
    And the ledger coordinator looks every minute for 1441 minutes
    Then the ledger coordinator has proposed to drop the keys up to index 1

  Scenario: A crowded customer's keys are kept for the least time only
    Given a ledger coordinator that leads
    When 40000 keys of sleman and 1 of rackhaven are applied
    And the ledger coordinator looks every minute for 4 minutes
    Then the ledger coordinator has proposed nothing
    When the ledger coordinator looks at time 302
    Then only the key of rackhaven is left at the ledger coordinator

  Scenario: A damaged snapshot is an error
    Given an empty ledger
    Then a ledger snapshot with a row of two columns is turned down

  Scenario: A command whose fate is unknown is told so to the entry
    Given a ledger coordinator that leads
    When the replicated log does not answer
    And an entry sends a claim to the ledger coordinator
    Then the entry is told that the claim is undecided with ran unknown

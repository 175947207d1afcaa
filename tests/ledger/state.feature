Feature: State of idempotency keys on the control instances
  All control instances apply the same commands from the replicated log. Commands of
  entry instances may be lost, repeated or delayed; the state must still let each
  request run at most once.

  Scenario: The outcome is unknown if an entry instance fails after its claim
    The control instances can't know whether the request was dispatched.
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    Then the status of the claim is "owned"
    When attempt "b" claims key "k" for request "r"
    Then the status of the claim is "in_progress"
    When the claim of attempt "a" on key "k" lapses
    And attempt "b" claims key "k" for request "r"
    Then the status of the claim is "unknown"

  Scenario: A response is stored even if its claim has lapsed
    The entry instance could not reach control until after the lapse. The response is
    still valid, and repeats should get it.
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And the claim of attempt "a" on key "k" lapses
    And attempt "a" records a response of 5 bytes for key "k"
    And attempt "b" claims key "k" for request "r"
    Then the status of the claim is "answered"

  Scenario: A claim that is sent twice counts once
    The entry instance sends its claim again if the response to it was lost, and must
    not be refused because of its own claim.
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And attempt "a" claims key "k" for request "r"
    Then the status of the claim is "owned"
    When attempt "a" records a response of 5 bytes for key "k"
    And attempt "a" claims key "k" for request "r"
    Then the status of the claim is "answered"

  Scenario: Commands of a released claim don't affect a newer claim
    Delayed commands of the first attempt are applied after another attempt has claimed
    the key. They must neither release the key nor store a response.
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And attempt "a" releases key "k" for request "r"
    And attempt "b" claims key "k" for request "r"
    Then the status of the claim is "owned"
    When attempt "a" records a response of 5 bytes for key "k"
    And attempt "a" releases key "k" for request "r"
    And the claim of attempt "a" on key "k" lapses
    And attempt "a" claims key "k" for request "r"
    Then the status of the claim is "in_progress"
    When attempt "c" claims key "k" for request "other"
    Then the status of the claim is "conflict"

  Scenario: A claim that is applied after its release doesn't take the key
    A delayed claim, for which no request waits any more, would block the key.
    Given an empty ledger
    When attempt "a" releases key "k" for request "r"
    And attempt "a" claims key "k" for request "r"
    Then the status of the claim is "withdrawn"
    When attempt "b" claims key "k" for request "r"
    Then the status of the claim is "owned"

  Scenario: A release doesn't remove a stored response
    The request ran; a released key would let it run again.
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And attempt "a" records a response of 5 bytes for key "k"
    And attempt "a" releases key "k" for request "r"
    And attempt "b" claims key "k" for request "r"
    Then the status of the claim is "answered"

  Scenario: The number of keys is limited, and expired keys are removed
    Without a limit the keys of one customer could fill the memory of every control
    instance.
    Given an empty ledger
    When 50000 keys are claimed
    And attempt "a" claims key "k" for request "r"
    Then the status of the claim is "full"
    When the keys up to index 50000 expire
    And attempt "a" claims key "k" for request "r"
    Then the status of the claim is "owned"
    And the ledger holds 1 key

  Scenario: The size of stored responses is limited, singly and in total
    Without a limit stored responses could fill the memory of every control instance.
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And attempt "a" records a response of 65537 bytes for key "k"
    And attempt "b" claims key "k" for request "r"
    Then the claim returns a response without a body
    When 300 responses of 65536 bytes are recorded
    Then the ledger holds at most 16777216 bytes of responses

  Scenario: A snapshot contains the whole state
    A key that is lost in a snapshot would let its request run again.
    Given an empty ledger
    When attempt "a" claims key "k" for request "r"
    And attempt "a" records a response of 5 bytes for key "k"
    And attempt "b" claims key "l" for request "r"
    And attempt "c" claims key "m" for request "r"
    And the claim of attempt "c" on key "m" lapses
    And the ledger is restored from its snapshot, encoded with msgpack
    Then the restored ledger equals the original
    And the ledger has 1 open claim

  Scenario: No order of commands lets two attempts own a key
    Entry instances send claims, records and releases in any order, and snapshots are
    taken in between. If two attempts owned a key, the request would run twice.
    Given an empty ledger
    Then in 400 random runs of 60 commands no two attempts own the key at the same time

  Scenario: A new leader knows the ages of claims that it saw as a follower
    If only the leader tracked ages, each change of leader would delay the lapse of
    claims. Followers must not propose commands.
    Given a ledger coordinator on a follower
    When a claim that runs 1000 ms is applied
    And the ledger coordinator sweeps at time 0, 3 and 7
    Then the ledger coordinator has proposed nothing
    When the instance of the ledger coordinator becomes leader
    And the ledger coordinator sweeps at time 8
    Then the ledger coordinator has proposed 1 lapse

  Scenario: Keys expire a day after their claim
    Commands name a log index instead of a time, as clocks differ between instances.
    Given a ledger coordinator on the leader
    When a claim that runs 1000 ms is applied
    And the ledger coordinator sweeps every minute for 1441 minutes
    Then the ledger coordinator has proposed to remove the keys up to index 1

  Scenario: Keys of a customer near its limit expire early
    Keys of a customer with few keys must not be removed for it.
    Given a ledger coordinator on the leader
    When 40000 keys of sleman and 1 of rackhaven are applied
    And the ledger coordinator sweeps every minute for 4 minutes
    Then the ledger coordinator has proposed nothing
    When the ledger coordinator sweeps at time 302
    Then only the key of rackhaven is left at the ledger coordinator

  Scenario: A malformed snapshot is an error
    A snapshot that is restored in part would lose keys.
    Given an empty ledger
    Then restoring a ledger snapshot with a row of two columns fails as malformed

  Scenario: An entry instance learns that the outcome of its command is unknown
    The replicated log doesn't answer in time; the command may be committed later.
    Given a ledger coordinator on the leader
    When the replicated log does not answer
    And an entry sends a claim to the ledger coordinator
    Then the entry gets the response Undecided with ran unknown

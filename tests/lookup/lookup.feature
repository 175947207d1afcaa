Feature: Look-ups list the nearest entry instances and spread clients over them

  Clients that are sent to a distant, leaving or overloaded entry instance wait longer or
  fail. Clients that move to another one for no reason have to connect anew.

  Scenario: Answers list the entries of the asked instance's region first
    Given a look-up in "north-a" among 9 entries in 3 regions
    Then every answer lists 3 entries of "north" and then one of another region

  Scenario: When an entry goes or comes, only its own share of the clients moves
    Given a look-up in "north-a" among 9 entries in 3 regions
    When entry "north-1" is lost
    Then only clients whose first entry was "north-1" got another first entry
    When entry "north-1" is back
    Then every client has its first answer again

  Scenario: An entry in the same availability zone gets the larger share
    Given a look-up in "north-a" among 9 entries in 3 regions
    Then "north-0" comes first for about 4 times as many clients as "north-1"

  Scenario Outline: An entry that does not accept callers is not in answers
    Given a look-up in "north-a" among 9 entries in 3 regions
    When entry "north-1" is <out>
    Then no answer lists "north-1"

    Examples:
      | out                      |
      | lost                     |
      | leaving                  |
      | starting                 |
      | drained                  |
      | in a drained zone        |

  Scenario: An overloaded entry gives up some of its clients, and they do not move back

    If clients moved with every change of load, they would go back and forth between
    entries.

    Given a look-up in "north-a" among 9 entries in 3 regions
    When the loads of "north-0", "north-1" and "north-2" are 90, 30 and 30
    Then "north-0" keeps some clients and no client moved between the others
    When the loads of "north-0", "north-1" and "north-2" are 70, 45 and 45
    Then no client moved

  Scenario: Clients of one address block get the same answer, in any notation
    Then "10.1.2.3", "10.1.2.250" and "::ffff:10.1.2.9" are in one group of clients
    And "2001:db8:1::1" and "2001:db8:1:ffff::1" are in one group of clients
    And "10.1.2" and "host" and "" are in no group of clients

  Scenario: A leaving entry stays until answers that list it expire, also of a former contract

    If a contract lowers the lifetime, callers still hold answers with the former one. An
    entry that ended before those expire would fail their requests.

    Given contracts whose longest look-up lifetime is 30 seconds
    When it is lowered to 5 seconds at 100
    Then an entry that no answer lists since 102 may be used until 130
    And an entry that no answer lists since 140 may be used until 145

  Scenario: The handler answers over HTTP, and refuses with a result code
    Given a running look-up handler
    Then "customer=sleman&service=inventory&client=10.0.0.1" is answered with a lifetime
    And "customer=sleman&service=invent%6Fry" is answered with a lifetime
    And "customer=sleman&service=other" is refused with status 404 and code 2102
    And "customer=sleman&service=inventory&client=x" is refused with status 400 and code 2101
    And "service" is refused with status 400 and code 2101
    When the lifetime of the contract changes
    Then the next answer has the new lifetime
    When every entry is drained
    Then "customer=sleman&service=inventory&client=10.0.0.1" is refused with status 503 and code 2103
    When the instance is not ready
    Then "customer=sleman&service=inventory&client=10.0.0.1" is refused with status 503 and code 2104

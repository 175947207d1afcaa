Feature: Look-ups name the nearest entry instances and spread clients over them

  Scenario: Entries of the asked instance's region come first, and every caller gets a list
    Given a look-up in "north-a" among 9 entries in 3 regions
    Then every answer names 3 entries of "north" and then one of another region

  Scenario: Only its own share moves when an entry goes or comes
    Given a look-up in "north-a" among 9 entries in 3 regions
    When entry "north-1" is lost
    Then only clients whose first entry was "north-1" got another first entry
    When entry "north-1" is back
    Then every client has its first answer again

  Scenario: An entry in the same availability zone gets the larger share
    Given a look-up in "north-a" among 9 entries in 3 regions
    Then "north-0" comes first for about 4 times as many clients as "north-1"

  Scenario Outline: What leaves is named no more
    Given a look-up in "north-a" among 9 entries in 3 regions
    When entry "north-1" is <out>
    Then no answer names "north-1"

    Examples:
      | out                      |
      | lost                     |
      | leaving                  |
      | starting                 |
      | drained                  |
      | in a drained zone        |

  Scenario: A loaded entry hands over a part of its clients only, and not back and forth
    Given a look-up in "north-a" among 9 entries in 3 regions
    When the loads of "north-0", "north-1" and "north-2" are 90, 30 and 30
    Then "north-0" keeps some clients and no client moved between the others
    When the loads of "north-0", "north-1" and "north-2" are 70, 45 and 45
    Then no client moved

  Scenario: Clients of one block get one answer, whatever the form of the address
    Then "10.1.2.3", "10.1.2.250" and "::ffff:10.1.2.9" are in one group of clients
    And "2001:db8:1::1" and "2001:db8:1:ffff::1" are in one group of clients
    And "10.1.2" and "host" and "" are in none

  Scenario: An entry outlives the answers that named it, also under a former contract
    Given contracts whose longest look-up lifetime is 30 seconds
    When it is lowered to 5 seconds at 100
    Then an entry that no answer names since 102 may be used until 130
    And an entry that no answer names since 140 may be used until 145

  Scenario: The handler answers over HTTP, and refuses with a numbered code
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

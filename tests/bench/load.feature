Feature: The emulator of load plays scenarios without a network

  Scenario Outline: Faults of a scenario file are all named
    When the load scenario "heavy" is read with <change>
    Then it is refused with "<fault>"

    Examples:
      | change                          | fault                       |
      | a kind of an unknown service    | /kinds/checks: no service   |
      | callers of an unknown zone      | /callers/nowhere: no such   |
      | an event of an unknown kind     | /events/0/kind              |
      | a negative number of slots      | /services/0/slots           |
      | a field that nobody knows       | /surprise                   |

  Scenario: The same seed gives the same figures, and each request ends once
    Given the first 6 s of the load scenario "heavy"
    Then two plays of "mothshunt" give the same figures
    And each request of them ended once

  Scenario Outline: The product earns more than simple choices, and nobody more than the bound
    Given the first 8 s of the load scenario "<scenario>"
    Then "mothshunt" earns more than "least_loaded" and "random"
    And none of them earns more than the bound

    Examples:
      | scenario     |
      | calm         |
      | heavy        |
      | shed         |
      | common-start |
      | many-entries |
      | limit        |

  Scenario: Targets that name a rate limit get no more than it allows, and get that
    Given the first 18 s of the load scenario "limit"
    Then with "mothshunt" no target gets more than its rate limit allows
    And with "mothshunt" at least 0.7 of the rate limits are used
    And with "least_loaded" some target gets more than its rate limit allows

  Scenario: Targets do no more than their slots allow
    Given the first 8 s of the load scenario "heavy"
    Then no target ran more than its slots and time allow

  Scenario: A command plays a scenario and ends with one JSON object
    When the load scenario "calm" is played by the command, quickly
    Then its last line tells the worth of each way and of the bound
    And a plot and a document lie beside it

  # Guards against a measurement of admission that lacks the shortage of one region.
  Scenario Outline: The scenarios of the customers have the demand that their page describes
    Given the load scenario "<scenario>"
    Then its demand by plain work times is 1.00 to 1.04 of the slots of each service
    And a third of its callers are in a region with a tenth of its targets
    And each region asks for 1.45 to 1.55 of its mean at the top of its wave

    Examples:
      | scenario  |
      | florists  |
      | utilities |

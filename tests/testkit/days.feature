Feature: Days of the users' bench are drawn from a seed, and what was played is told

  Scenario: Kinds and their variants are read from what the bench prints
    When these kinds are read:
      """
      Each entry has 'at' (seconds from the start of traffic) and 'kind'.

      burst: x times the traffic of a zone or class (all)
      scale_in: share (.15) drain and leave; how: spot (gone x s (2) after it), reclaim (all, with dry nowhere)
      config_change: how: route weights (+ down: far below) idle

      these may come too:
      node_kill: share (.1) of the machines: SIGKILL; how: power (dark for for_s)
      """
    Then the kinds are:
      | kind          | variants           |
      | burst         |                    |
      | scale_in      | spot, reclaim      |
      | config_change | route, weights, idle |
      | node_kill     | power              |

  Scenario: A list that names no kind is refused
    When "script/days draw" is given a list without kinds
    Then it exits with 2 and says "no line of the form"

  Scenario: A day has each kind once, each overlaps the one before, and a seed repeats it
    Then 300 drawn days of 4 kinds are as they should be, and can be read as TOML

  Scenario: A kind that the list doesn't name is refused
    When "script/days draw" is asked for the kind "flood"
    Then it exits with 2 and says "no kind flood"

  Scenario: The journal tells which kinds and pairs struck, and which pairs never did
    Given a journal with these days:
      | call  | site  | day     | commit  | worth | kinds                | broken |
      | score | north | quiet-1 | aaaaaaa | 0.5   | burst, release       |        |
      | hunt  | north | mix     | bbbbbbb | 0.4   | burst, garble        | TWICE  |
      | score | north | quiet-1 | ccccccc | 0.7   | burst, release       |        |
      | score | south | quiet-1 | ccccccc | 0.6   | burst                |        |
    And a journal entry of a run that did not finish
    Then "script/days kinds" tells:
      """
      | north | burst | 3 | 1 | ccccccc |
      | north | garble | 1 | 1 | bbbbbbb |
      | north | release | 2 | 0 | ccccccc |
      | south | burst | 1 | 0 | ccccccc |
      """
    And "script/days pairs" tells:
      """
      | burst, garble | 1 | 1 | bbbbbbb |
      | burst, release | 2 | 0 | ccccccc |
      | garble, release | 0 | 0 | - |
      """
    And "script/days worth" tells:
      """
      | north | quiet-1 | 0.500, aaaaaaa | 0.700, ccccccc |
      | south | quiet-1 | 0.600, ccccccc | 0.600, ccccccc |
      """
    And "script/days worth --site south" tells:
      """
      | south | quiet-1 | 0.600, ccccccc | 0.600, ccccccc |
      """

  Scenario: A journal entry that can't be read is told, not passed over
    Given a journal with an entry that is cut short
    When "script/days kinds" reads it
    Then it exits with 2 and says "0000-cut.json"

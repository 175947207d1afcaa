Feature: Changed settings are taken while a process runs

  Scenario Outline: An entry finds the control instances that its settings name by now
    Given a platform deployment of 3 control and 2 entry processes
    And 1 platform targets of service "stock"
    When the operator routes "shop.example" "/stock/" to "stock"
    And entry 1 starts again with a seed that nobody has
    Then entry 1 is not ready for 2 s
    When the settings of entry 1 name the seeds again, <how>
    Then entry 1 is soon ready

    Examples:
      | how               |
      | with SIGHUP       |
      | without a signal  |

  Scenario: Settings that can't be read change nothing
    Given a platform deployment of 3 control and 1 entry processes
    And 1 platform targets of service "stock"
    When the operator routes "shop.example" "/stock/" to "stock"
    And the settings of entry 1 become unreadable, with SIGHUP
    Then entry 1 says why in its log
    And entry 1 is soon ready

  # Guards against the failure that SIGHUP ends a process that is still loading modules.
  Scenario: SIGHUP during the load of modules doesn't end the process
    When the platform's program gets SIGHUP while it loads its modules, without settings
    Then it ends because of its settings

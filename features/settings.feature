Feature: Accepted settings are in force everywhere and never revert

  Scenario: Two operators change the settings at once
    Given the ausili-brambilla deployment
    When two operators change the settings at once
    Then one of them wins and the other is told of the conflict
    And every host has version 2 within 6 s

  Scenario: The platform loses the answer to a change
    Given the ausili-brambilla deployment
    When the platform loses its answers
    And the operator changes the rate of all workspaces to 300
    Then every host has version 2 within 6 s

  Scenario: The store is down for long and a host is replaced
    Given the ausili-brambilla deployment
    And load for 8 seconds
    When the platform is down
    And 1 s pass
    And the host that owns "loans" is killed
    Then "loans" has another owner within 5 s
    And the load without the lost host ends with no promise broken
    And no statement had the outcome settings_stale

  Scenario: A host restarts while the store is down
    Given the ausili-brambilla deployment
    When the operator changes the rate of all workspaces to 300
    And the platform is down
    And "host-3" is killed and started again
    Then every host has version 2 within 6 s

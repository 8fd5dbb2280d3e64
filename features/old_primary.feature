Feature: No write is acknowledged by an old primary

  Scenario: The primary is killed
    Given the ausili-brambilla deployment
    And load for 6 seconds
    When the primary of "loans" is killed
    Then "loans" has another primary within 1.5 s
    And the load ends with no promise broken
    And no caller of "loans" waited more than 1.5 s

  Scenario: The primary is frozen and wakes up
    Given the ausili-brambilla deployment
    And load for 7 seconds
    When the primary of "loans" is frozen
    And 2 s pass
    And the old primary wakes up
    Then "loans" has another primary within 1.5 s
    And the load ends with no promise broken
    And no caller of "loans" waited more than 1.5 s

  Scenario: The primary goes silent and comes back
    Given the oogspoel-wissel deployment
    And load for 7 seconds
    When the primary of "stock" is silent on open connections and on new ones
    And 4 s pass
    And the old primary wakes up
    Then "stock" has another primary within 1.5 s
    And the load ends with no promise broken
    And no caller of "stock" waited more than 1.5 s
    And no statement of "stock" took more than 3 s

  Scenario: The owner is frozen and wakes up
    Given the ausili-brambilla deployment
    And load for 9 seconds
    When the pool that owns "loans" is frozen
    And 3 s pass
    And the frozen programs wake up
    Then the load ends with no promise broken
    And no caller of "loans" waited more than 8 s

  Scenario: The owner is killed and connections stay below the limit
    Given the ausili-brambilla deployment
    And load for 7 seconds
    When the pool that owns "loans" is killed
    Then "loans" has another owner within 5 s
    And the load ends with no promise broken
    And no server had more connections than its limit

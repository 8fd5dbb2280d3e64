Feature: No workspace gets more than its rate and burst over all hosts

  Scenario: Ten times the rate from all hosts
    Given a rate of 20 statements/s for "deposits" in the ausili-brambilla deployment
    When 1.5 s pass
    And callers of "deposits" send 200 statements/s for 4 s
    Then no more of "deposits" ran than its rate and burst allows
    And at least 90 of them ran

  Scenario: The counting owner dies and its burst is not given twice
    Given a rate of 20 statements/s for "deposits" in the ausili-brambilla deployment
    When callers of "deposits" send 200 statements/s for 2 s
    Then no more of "deposits" ran than its rate and burst allows
    When the pool that owns "refunds" is killed
    And callers of "deposits" send 200 statements/s for 3 s
    Then no more of "deposits" ran than its rate allows

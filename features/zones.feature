Feature: Zones and hosts leave without cutting work

  Scenario: A zone is taken out and comes back
    Given the ausili-brambilla deployment
    And load for 9 seconds
    When the owner and primary of "loans" are noted
    And the operator takes zone "of the owner" out
    Then the owner of "loans" is outside its zone within 3 s
    When the operator takes zone "of the owner" back
    Then the load ends with no promise broken
    And no statement had the outcome outcome_unknown or transaction_lost
    And no caller of "loans" waited more than 1.5 s

  Scenario: The zone of a primary is taken out
    Given the ausili-brambilla deployment
    And load for 7 seconds
    When the owner and primary of "loans" are noted
    And the operator takes zone "of the primary" out
    Then "loans" has another primary within 3 s
    And the load ends with no promise broken
    And no statement had the outcome outcome_unknown or transaction_lost

  Scenario: A host is stopped on plan
    Given the oogspoel-wissel deployment
    And load for 7 seconds
    When the host that owns "stock" is stopped on plan
    Then "stock" has another owner within 3 s
    And the load without the lost host ends with no promise broken
    And no caller of "stock" waited more than 1.5 s
    And no statement had the outcome outcome_unknown or transaction_lost

  Scenario: A leaving database gets no new work
    Given the ausili-brambilla deployment
    And caller "clerk" of "deposits" on "host-1"
    When the operator takes database "refunds" out
    Then "clerk" gets the error 45004 for "SELECT 1" within 3 s

Feature: A session has read-your-writes consistency

  Scenario: A session on two hosts while replicas lag
    Given the ausili-brambilla deployment
    And caller "counter" of "depot-milano" on "host-1"
    And the table "seen (id INTEGER PRIMARY KEY, n INTEGER)" made by "counter"
    And caller "till" of "depot-milano" on "host-2"
    And "counter" has run "SET @egretstep_session = 'depot-4'"
    And "till" has run "SET @egretstep_session = 'depot-4'"
    And replicas of "loans" that lag 0.15 s
    Then 20 writes by "counter" are each seen at once by "till"
    And 20 writes by "till" are each seen at once by "counter"

  Scenario: A read of a stated age while replicas are cut off and look fresh
    Given the ausili-brambilla deployment
    And caller "counter" of "depot-milano" on "host-1"
    And the table "seen (id INTEGER PRIMARY KEY, n INTEGER)" made by "counter"
    And caller "pharmacy" of "depot-milano" on "host-2"
    And "counter" has run "REPLACE INTO seen VALUES (1, 1)"
    And "pharmacy" has run "SET @egretstep_max_staleness_ms = '600'"
    And replicas of "loans" that lag 30 s
    When "counter" runs "REPLACE INTO seen VALUES (1, 2)"
    And 1 s pass
    And "pharmacy" runs "SELECT n FROM seen WHERE id = 1"
    Then the answer is 2

  Scenario: Sessions roam while the owner is killed
    Given the oogspoel-wissel deployment
    And load for 8 seconds
    When the host that owns "stock" is killed
    Then "stock" has another owner within 5 s
    And the load without the lost host ends with no promise broken

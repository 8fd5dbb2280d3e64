Feature: Transactions never mix, and end with their holder

  Scenario: The pool dies in the middle of a transaction
    Given the ausili-brambilla deployment
    And caller "clerk" of "depot-milano" on "host-1"
    And the table "loans (id INTEGER PRIMARY KEY, n INTEGER)" made by "clerk"
    And "clerk" has run "BEGIN"
    And "clerk" has run "INSERT INTO loans VALUES (1, 1)"
    When the pool that owns "loans" is killed
    And "clerk" runs "INSERT INTO loans VALUES (2, 2)"
    Then the statement fails with 45009
    And the message says "outcome: notRun"
    And "clerk" reads 0 with "SELECT COUNT(*) FROM loans" within 5 s

  Scenario: The entry dies in the middle of a transaction
    Given the ausili-brambilla deployment
    And caller "clerk" of "depot-milano" on "host-1"
    And the table "loans (id INTEGER PRIMARY KEY, n INTEGER)" made by "clerk"
    And "clerk" has run "BEGIN"
    And "clerk" has run "INSERT INTO loans VALUES (1, 1)"
    And caller "other" of "depot-milano" on "host-2"
    When the entry of "host-1" is killed
    And "other" runs "INSERT INTO loans VALUES (3, 3)"
    And "other" runs "SELECT COUNT(*) FROM loans"
    Then the answer is 1

  Scenario: A refused statement leaves its transaction open
    Given a rate of 5 statements/s for "deposits" in the ausili-brambilla deployment
    And caller "clerk" of "deposits" on "host-1"
    And the table "loans (id INTEGER PRIMARY KEY, n INTEGER)" made by "clerk"
    And "clerk" has run "BEGIN"
    And "clerk" has run "INSERT INTO loans VALUES (1, 1)"
    And "clerk" has run "SET @egretstep_timeout_ms = '20'"
    When callers of "deposits" send 60 statements/s for 1 s
    And "clerk" runs "INSERT INTO loans VALUES (2, 2)"
    Then the statement fails with 45002
    When "clerk" runs "SET @egretstep_timeout_ms = '2000'"
    And 1 s pass
    And "clerk" runs "INSERT INTO loans VALUES (2, 2)"
    And "clerk" runs "COMMIT"
    And 1 s pass
    And "clerk" runs "SELECT COUNT(*) FROM loans"
    Then the answer is 2

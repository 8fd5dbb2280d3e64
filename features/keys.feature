Feature: A request runs only for the workspace whose key came with it

  Scenario: A key is withdrawn from open connections, also in a transaction
    Given the ausili-brambilla deployment
    And caller "clerk" of "depot-milano" on "host-1"
    And the table "loans (id INTEGER PRIMARY KEY, n INTEGER)" made by "clerk"
    And caller "idle" of "depot-milano" on "host-2"
    And caller "other" of "depot-bergamo" on "host-3"
    And "clerk" has run "BEGIN"
    And "clerk" has run "INSERT INTO loans VALUES (1, 1)"
    When the operator withdraws the key of "depot-milano"
    Then "clerk" gets the error 45001 for "SELECT 1" within 3 s
    And "idle" gets the error 45001 for "SELECT 1" within 3 s
    And "other" reads 0 with "SELECT COUNT(*) FROM loans" within 2 s
    And no database server was given a key

  Scenario: A host that is cut off alone stops honouring keys
    Given the ausili-brambilla deployment
    And caller "clerk" of "depot-milano" on "host-1"
    And the table "loans (id INTEGER PRIMARY KEY, n INTEGER)" made by "clerk"
    When the platform is down
    And the agents of all hosts but "host-1" are frozen
    Then "clerk" gets the error 45008 for "SELECT 1" within 4 s

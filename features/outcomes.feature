Feature: Outcomes are true, and what may not be repeated runs at most once

  Scenario: The answer to a commit is lost
    Given the ausili-brambilla deployment
    And caller "clerk" of "depot-milano" on "host-1"
    And the table "refunds (id INTEGER PRIMARY KEY, n INTEGER)" made by "clerk"
    And "clerk" has run "SET @egretstep_timeout_ms = '800'"
    When the owner and primary of "loans" are noted
    And the primary of "loans" loses the answers to commits
    And "clerk" runs "INSERT INTO refunds VALUES (1, 1)"
    Then the statement fails with 45011
    And the message says "outcome: unknown"

  Scenario: A request key makes a retry on another host run once
    Given the ausili-brambilla deployment
    And caller "clerk" of "depot-milano" on "host-1"
    And the table "refunds (id INTEGER PRIMARY KEY, n INTEGER)" made by "clerk"
    And "clerk" has run "INSERT INTO refunds VALUES (1, 0)"
    And caller "again" of "depot-milano" on "host-2"
    And "clerk" has run "SET @egretstep_request_key = 'refund-77'"
    And "again" has run "SET @egretstep_request_key = 'refund-77'"
    When "clerk" runs "UPDATE refunds SET n = n + 1 WHERE id = 1"
    And "again" runs "UPDATE refunds SET n = n + 1 WHERE id = 1"
    And "clerk" runs "SELECT n FROM refunds"
    Then the answer is 1

Feature: Command-line interface for operators

  Scenario: An invalid settings file is checked
    Given a settings file with 2 violations
    When the operator runs "check FILE"
    Then it exits 1 and prints both violations

  Scenario: A settings file with comments is checked
    Given the sample settings of the league
    When the operator runs "check FILE --json"
    Then it exits 0 and prints a count of 12 paths

  Scenario: Settings are applied and read through a node
    # "settings get PATH" fails with a traceback if the query parameter "path" collides with an argument of the client.
    Given the sample settings of the league
    And a node's operator API
    When the operator runs "settings apply FILE --note=first"
    Then it exits 0
    When the operator runs "settings get /league/finals-desk"
    Then it exits 0 and prints "fields.rate_per_s.value: 400"
    And it prints "fields.models.source: /league"
    When the operator runs "settings set /league/finals-desk rate_per_s 450"
    Then it exits 0
    When the operator runs "settings get /league/finals-desk"
    Then it exits 0 and prints "fields.rate_per_s.value: 450"
    When the operator runs "settings history"
    Then it exits 0 and prints "[0].note: first"

  Scenario: The operator key is wrong
    Given a node's operator API
    When the operator runs "status" with a wrong key
    Then it exits 1 and prints the step authenticate

  Scenario: The node is not listening
    When the operator runs "status --node=http://127.0.0.1:9"
    Then it exits 1 and prints the step /admin/status

  Scenario: The pressure of the pools is read through a node on the platform
    Given a node on the platform whose pool has a pressure of 1.5
    When the operator runs "pressure"
    Then it exits 0 and prints "engines.pressure: 1.5"
    And it prints "engines.level: 1.25"

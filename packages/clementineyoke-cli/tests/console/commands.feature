Feature: The operators' command line

  Scenario: A file with faults names every one and exits 1
    Given a settings file with 2 faults
    When the operator runs "check FILE"
    Then it exits 1 and names both paths

  Scenario: A file with comments is read
    Given the sample settings of the league
    When the operator runs "check FILE --json"
    Then it exits 0 and says 12 paths

  Scenario: Settings are applied and looked up through a node
    # Symptom: "settings get /league/finals-desk" ends with a traceback.
    # Sequence: any look-up that names a path.
    # Cause: the parameter "path" met the client's own argument of that name.
    Given the sample settings of the league
    And a node's operator interface
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

  Scenario: A wrong operator key
    Given a node's operator interface
    When the operator runs "status" with a wrong key
    Then it exits 1 and names the step authenticate

  Scenario: Nobody listens
    When the operator runs "status --node=http://127.0.0.1:9"
    Then it exits 1 and names the step /admin/status

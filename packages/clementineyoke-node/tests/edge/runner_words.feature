Feature: What runners say of themselves in their answers

  Scenario: An operator asks what a call's runner said of itself
    # Guards against decisions that cannot be explained by what the runner said.
    Given a fleet of 1 node and 1 runner
    And runner 1 says in its answers that it leaves
    When a caller makes a "non_idempotent" call with the id "served"
    Then the decisions on "served" hold "runner_leaving"
    When runner 1 refuses all calls and asks for 3 s of rest
    And a caller makes a "non_idempotent" call with the id "refused"
    Then the decisions on "refused" hold "runner_resting"

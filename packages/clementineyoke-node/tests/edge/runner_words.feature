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

  Scenario: A runner leaves while the store is away
    # Guards against new work on a runner whose leaving its answers alone tell.
    Given a fleet of 1 node and 2 runners
    When the store goes silent
    And runner 1 says in its answers that it leaves
    And 40 calls come at node 1 until runner 1 has answered
    And 40 more calls come at node 1
    Then none of those reached runner 1
    And all of them are answered

  Scenario: A runner refuses and asks for rest
    # Guards against calls to a runner within the time for which it wanted none.
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls and asks for 20 s of rest
    And 40 calls come at node 1 until runner 1 has answered
    And 40 more calls come at node 1
    Then none of those reached runner 1
    And all of them are answered

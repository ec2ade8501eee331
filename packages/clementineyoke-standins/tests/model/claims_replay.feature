Feature: The claims specification and the core implement the same protocol

  Scenario: Random walks of the claims specification are replayed on the core's shards
    # Guards against a proved specification and wrong code after only one of them has changed.
    Given 400 seeded walks of the claims specification
    Then the core's shards reach the same records and verdicts at every step
    And every kind of step was replayed

  Scenario: The core's shards reject the counterexample of an unconditional write
    Given the counterexample of "write without an expected version"
    Then the core's shard refuses the write that the mutated specification applies

Feature: The specification and the code are one protocol

  Scenario: Random walks of the claims specification on the real shard
    # Symptom: the model is proved and the code is wrong.
    # Sequence: code or specification is changed, the other is not.
    # Cause: nothing ties them; replaying the walks compares them at every step.
    Given 400 seeded walks of the claims specification
    Then the real shards take the same steps to the same records and verdicts
    And every kind of step was taken

  Scenario: The counterexample of the missing version on the real shard
    Given the counterexample of "write without a version"
    Then the real shard refuses the write that the specification let land

Feature: This node's share of second tries

  Scenario: All runners fail for a while
    # Symptom: a service gets over its budget of repeats from the whole fleet.
    # Sequence: 9 nodes see 20 calls each in 10 s, all of them fail.
    # Cause: each node spent the whole allowance.
    Given 9 nodes that share a ratio of 0.2 and 58 more in 10 s
    When each sees 20 calls in 9 s and all of them want a second try
    Then together they send at most 94 again
    And each sends at least 4 again

  Scenario: The window slides
    Given 1 nodes that share a ratio of 0.2 and 4 more in 10 s
    When each sees 5 calls in 1 s and all of them want a second try
    Then nothing is left at 9 s
    And there is something left at 12 s

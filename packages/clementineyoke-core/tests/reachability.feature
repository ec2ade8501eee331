Feature: A runner that takes no connections

  Scenario: A dark runner behind many nodes
    # Pattern: 15 nodes share the 7 calls a second of a runner that is dark for 4 s.
    # Symptom: 20 calls meet it, each waits for a connection and some find no other
    #   runner in time.
    # Cause: each node paused it by its own calls alone, which are seconds apart.
    Given 15 nodes that call a runner in turn, 7 times a second
    When it is dark from 1000 ms to 5000 ms
    Then at most 7 calls meet it while it is dark
    And it gets calls again before 6100 ms

  Scenario: One node is cut off
    # Symptom: a runner that is well gets no calls for half a second, again and again.
    # Cause: the word of a node that can reach nobody was taken for the runner's fault.
    Given 15 nodes that call a runner in turn, 7 times a second
    When node 3 cannot reach it for 20 s
    Then it is never paused

  Scenario: Some nodes are cut off while others are answered
    Given 6 nodes that call a runner in turn, 7 times a second
    When nodes 1 and 4 cannot reach it for 20 s
    Then it is never paused

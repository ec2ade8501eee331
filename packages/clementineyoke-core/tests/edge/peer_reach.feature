Feature: Peers that forward calls

  Scenario: The only peer in touch accepted no connection a moment ago
    # A single lost packet would leave the callers of a cut-off node refused for a second.
    Given a node with the peers "a, b"
    When "b" reports at 0 ms that it cannot reach the pool
    And "a" accepts no connection at 100 ms
    Then the node offers calls to "a" at 200 ms

  Scenario: Peers that accepted no connection come last
    Given a node with the peers "a, b, c"
    When "b" accepts no connection at 100 ms
    Then the node offers calls to "b" after all others at 200 ms

  Scenario: A peer reaches no runner either
    Given a node with the peers "a, b"
    When "a" refuses a call at 100 ms
    Then the node offers calls to "b" at 900 ms
    And the node offers calls to "a, b" at 1200 ms

  Scenario: A peer that reported ends without a word
    Given a node with the peers "a, b"
    When "a" reports at 0 ms that it cannot reach the pool
    Then the node offers calls to "b" at 2900 ms
    And the node offers calls to "a, b" at 3100 ms

Feature: Maximum age of a node's view of the store

  Scenario: A view is no longer confirmed
    # The watchers of a node's zone confirm its view until the node is cut off from them. If
    # no report meant "no change", the node would accept revoked keys forever.
    Given a bound of 2000 ms on how soon a state is in force
    When the store answers at 1000 ms
    Then the view is not stale at 2200 ms
    And the view is stale at 2201 ms

  Scenario: A peer's confirmation counts from when the peer got it
    Given a bound of 2000 ms on how soon a state is in force
    When the store answers at 1000 ms
    And a peer reports at 2000 ms that the store answered it 600 ms ago
    Then the view is not stale at 2600 ms
    And the view is stale at 2601 ms
    And at 2500 ms it reports an age of 1100 ms

  Scenario: An older confirmation changes nothing
    Given a bound of 2000 ms on how soon a state is in force
    When the store answers at 1000 ms
    And a peer reports at 1500 ms that the store answered it 900 ms ago
    Then the view is not stale at 2200 ms

  Scenario: A node that has just started
    Given a bound of 2000 ms on how soon a state is in force
    Then the view is stale at 0 ms

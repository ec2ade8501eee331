Feature: How old a node's knowledge of the store may be

  Scenario: A view that nobody confirms
    # Symptom: a node cut off from its zone's watchers serves withdrawn keys for good.
    # Sequence: the watchers confirm the view; then the node hears of them no more.
    # Cause: a node that does not watch took silence for "nothing has changed".
    Given a bound of 2000 ms on how soon a state is in force
    When the store is heard at 1000 ms
    Then the view is not stale at 2200 ms
    And the view is stale at 2201 ms

  Scenario: A peer's confirmation counts from when the peer had it
    Given a bound of 2000 ms on how soon a state is in force
    When the store is heard at 1000 ms
    And a peer tells at 2000 ms that it heard the store 600 ms ago
    Then the view is not stale at 2600 ms
    And the view is stale at 2601 ms
    And at 2500 ms it tells others that it is 1100 ms old

  Scenario: An older confirmation changes nothing
    Given a bound of 2000 ms on how soon a state is in force
    When the store is heard at 1000 ms
    And a peer tells at 1500 ms that it heard the store 900 ms ago
    Then the view is not stale at 2200 ms

  Scenario: A node that has just started
    Given a bound of 2000 ms on how soon a state is in force
    Then the view is stale at 0 ms

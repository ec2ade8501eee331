Feature: Stalls of a node's own event loop

  Scenario: The event loop of a node stands still
    # Without a record of it, a stall of the node looks like the silence of all its runners.
    Given a fleet of 1 node and 2 runners
    When the event loop stands still for 0.5 s
    Then the node has counted a stall of 250 to 700 ms

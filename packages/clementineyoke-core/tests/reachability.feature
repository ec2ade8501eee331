Feature: A runner that accepts no connections

  Scenario: Many nodes call an unreachable runner
    # 15 nodes share the 7 calls a second of a runner that is unreachable for 4 s. If each
    # pauses it by its own calls, seconds apart, 20 calls wait for a connection and some find
    # no other runner in time.
    Given 15 nodes that call a runner in turn, 7 times a second
    When it is unreachable from 1000 ms to 5000 ms
    Then at most 7 calls fail while it is unreachable
    And it gets calls again before 6100 ms

  Scenario: One node is cut off
    # A node that can reach no runner reports all of them: if its reports alone count, a
    # healthy runner is paused for half a second, again and again.
    Given 15 nodes that call a runner in turn, 7 times a second
    When node 3 cannot reach it for 20 s
    Then it is never paused

  Scenario: Some nodes are cut off while others get answers
    Given 6 nodes that call a runner in turn, 7 times a second
    When nodes 1 and 4 cannot reach it for 20 s
    Then it is never paused

  Scenario: Another node reaches a paused runner
    # Several nodes that are cut off agree on a sound runner. If each of their reports is
    # enough for the next pause, the runner is lost for the others all the same.
    Given 6 nodes that call a runner in turn, 7 times a second
    When nodes 1 and 4 report it as unreachable
    Then it is paused
    When another node reaches it
    Then it is not paused
    When nodes 1 and 4 report it as unreachable
    Then it is not paused
    When nodes 1 and 2 report it as unreachable
    Then it is paused
    When another node reaches it
    And 3000 ms pass
    And nodes 1 and 4 report it as unreachable
    Then it is paused

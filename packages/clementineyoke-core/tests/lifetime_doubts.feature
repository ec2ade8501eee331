Feature: Doubts about the lifetimes of runners

  Scenario: A peer hands back a doubt that this node has settled
    # Nodes that end a doubt one after the other would hand it to each other for ever.
    Given a runner that refused a connection, and a peer's doubt about it
    When it accepts one, and the store confirms its entry
    Then the runner is not in doubt
    When the peer hands over its doubt
    Then the runner is not in doubt

  Scenario: A peer has seen a runner's end after this node settled a doubt
    # The runner ended again, and the message about it was lost.
    Given a runner that refused a connection, and a peer's doubt about it
    When it accepts one, and the store confirms its entry
    And the peer has seen a refusal since, and hands over its doubt
    Then the runner is in doubt

  Scenario: A runner refuses connections again before its doubt has ended
    # It may be down again; the connection from before proves nothing about its next start.
    Given a runner that refused a connection, and a peer's doubt about it
    When it accepts one and refuses the next, and the store confirms its entry
    Then the runner is in doubt

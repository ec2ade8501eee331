Feature: Stalls of a node's own event loop

  Scenario: The event loop of a node stands still
    # Without a record of it, a stall of the node looks like the silence of all its runners.
    Given a fleet of 1 node and 2 runners
    When the event loop stands still for 0.5 s
    Then the node has counted a stall of 250 to 700 ms

  Scenario Outline: A reply arrives while the event loop stands still
    # The timeout of a request expires before the reply is read, and the peer seems silent.
    When a request with a timeout of 100 ms meets a stall of 300 ms, and <event>
    Then the request ends as "<end>"

    Examples:
      | event                            | end       |
      | its reply arrives meanwhile      | reply     |
      | its reply never arrives          | timeout   |
      | its caller leaves with the reply | cancelled |

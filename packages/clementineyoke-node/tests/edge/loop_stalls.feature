Feature: Stalls of a node's own event loop

  Scenario: The event loop of a node stands still
    # Without a record of it, a stall of the node looks like the silence of all its runners.
    Given a fleet of 1 node and 2 runners
    When the event loop stands still for 0.5 s
    Then the node has counted a stall of 250 to 700 ms

  Scenario: The machine of a node is suspended
    # The steady clock does not count the time, and the node would take itself for current.
    Given a fleet of 1 node and 2 runners
    When the machine is suspended for 0.5 s
    Then the node has counted a stall of 250 to 700 ms

  Scenario: A node stands still while it opens connections
    # Its runner has accepted them meanwhile, counts as unreachable, and its calls are refused.
    Given a fleet of 1 node and 1 runner
    When the node stands still for 0.3 s while it opens connections for 4 calls
    Then all of these calls are answered, and no connection has failed

  Scenario: A node stands still while it probes a runner
    # A runner that listens counts as crashed, and its whole answer without a length as cut.
    Given a fleet of 1 node and 1 runner
    When the node stands still for 0.3 s while it probes runner 0
    Then the runner is found to listen

  Scenario Outline: A reply arrives while the event loop stands still
    # The timeout of a request expires before the reply is read, and the peer seems silent.
    When a request with a timeout of 100 ms meets a stall of 300 ms, and <event>
    Then the request ends as "<end>"

    Examples:
      | event                            | end       |
      | its reply arrives meanwhile      | reply     |
      | its reply never arrives          | timeout   |
      | its caller leaves with the reply | cancelled |

  Scenario: Datagrams wait while the event loop is busy
    # Read one in each turn of the loop, a peer's request is answered after it has given up.
    Given a fleet of 1 node and 1 runner
    When 20 datagrams wait for the node
    Then it reads them within 5 turns of its event loop

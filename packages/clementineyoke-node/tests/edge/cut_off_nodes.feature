Feature: Nodes that reach no runner

  Scenario Outline: Callers of a node that has lost its links to all runners
    # A node that only sends calls to runners itself refuses all calls for as long as it
    # reaches none, although its peers reach all of them.
    Given 3 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    When nodes "0, 1" lose their links to all runners, "<how>"
    And callers make 20 "idempotent" calls at all nodes, one each 0.05 s
    And callers make 8 "<kind>" calls at each node
    Then each of these calls is answered by a runner on its first try
    And no call was executed more often than its route allows

    Examples:
      | how      | kind           |
      | silent   | idempotent     |
      | silent   | non_idempotent |
      | silent   | streaming      |
      | reset    | non_idempotent |
      | new_only | non_idempotent |

  Scenario: A stream is on its way when the node loses its links
    # The head of the response has been sent, so that only the rest may come from a peer.
    Given 3 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    And the runners stream slowly
    When nodes "0" lose their links to all runners, "silent" amid 3 streams
    Then each stream is complete and has every event once

  Scenario Outline: The resumption of a stream fails at a peer
    # The peer's error response, written after the head of the stream, is no valid answer.
    Given 3 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    And the runners stream slowly
    When a stream loses its node's links, "<how>", and its resumption fails at a peer
    Then the caller reads one response, which is incomplete

    Examples:
      | how    |
      | silent |
      | reset  |

  Scenario: A peer gets no answer from the runner
    # The call may have run. A second peer, or a status that means "not run", would lead to
    # a double booking.
    Given 3 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    When nodes "0" lose their links to all runners, "reset"
    And callers make 10 "idempotent" calls at all nodes, one each 0.05 s
    And the next call at a runner is answered as "reset"
    And a caller makes a "non_idempotent" call
    Then the caller gets 502
    And no call was executed more often than its route allows

  Scenario: All nodes lose their links
    # Cut-off nodes that forward each other's calls keep them until their deadline.
    Given 4 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    When nodes "0, 1, 2, 3" lose their links to all runners, "silent"
    And callers make 20 "idempotent" calls at all nodes, one each 0.05 s
    And callers make 8 "non_idempotent" calls at each node
    Then each of these calls is refused as not run within 0.5 s, to return later
    And no call was forwarded by two nodes

  Scenario: The helping peer loses its links as well
    Given 4 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    When nodes "0" lose their links to all runners, "silent"
    And callers make 10 "idempotent" calls at all nodes, one each 0.05 s
    And nodes "0, 1, 2" lose their links to all runners, "reset"
    And callers make 20 "idempotent" calls at all nodes, one each 0.05 s
    And callers make 8 "non_idempotent" calls at each node
    Then each of these calls is answered by a runner on its first try
    And no call was forwarded by two nodes

  Scenario: Nodes do not hear that the helping peers have lost their links
    Given 4 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    And reports of unreachable pools are lost
    When nodes "0, 1, 2" lose their links to all runners, "silent"
    And callers make 20 "idempotent" calls at all nodes, one each 0.05 s
    And callers make 8 "non_idempotent" calls at each node
    Then each of these calls is answered by a runner on its first try
    And no call was forwarded by two nodes

  Scenario: The links are back
    # A node that goes on forwarding loads its peers twice, and one that keeps its runners
    # quarantined moves their chats to others.
    Given 3 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    When nodes "0, 1" lose their links to all runners, "silent"
    And callers make 20 "idempotent" calls at all nodes, one each 0.05 s
    And the links are back for 1 s
    And callers make 8 "non_idempotent" calls at each node
    Then each of these calls is answered by a runner on its first try
    And none of these calls was forwarded
    And no node has a quarantined runner

  Scenario Outline: A caller states that a node has forwarded its call
    # A caller could skip the limits that apply to its own calls.
    Given a fleet of 1 node and 1 runner
    When a caller makes a "idempotent" call with "X-Fleet-Hop: <hop>"
    Then the caller gets 200 and its own response, with the runner's signature
    And the runner received no "x-fleet-hop"
    And the call counts as the caller's own

    Examples:
      | hop         |
      | no base 64! |
      | bm8gaG9w    |

  Scenario: A caller repeats what a node has signed for another call
    Given a fleet of 1 node and 1 runner
    When a caller makes a "idempotent" call that node 0 has signed for another
    Then the caller gets 200 and its own response, with the runner's signature
    And the call counts as the caller's own

  Scenario: Cut-off nodes and the runners of the others
    # Two cut-off nodes report each runner that they call as unreachable: if that pauses the
    # runners for all nodes, chats in touch with their runners are moved to others.
    Given 4 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    When nodes "0, 1" lose their links to all runners, "silent"
    And callers make 40 "idempotent" calls at all nodes, one each 0.05 s
    Then calls at nodes "2, 3" pass over at most 2 paused runners

  Scenario: Some nodes lose their links to one runner only
    # They reach other runners and so are not cut off; the nodes that reach this one would
    # lose it by their reports.
    Given 4 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    When nodes "0, 1" lose their links to one runner, "silent"
    And callers make 40 "idempotent" calls at all nodes, one each 0.05 s
    Then calls at nodes "2, 3" pass over at most 4 paused runners

  Scenario: Two nodes are wrong about a runner
    Given 4 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    When nodes "0, 1" report a sound runner as unreachable
    Then its home pauses it for less than 0.4 s

  Scenario: Calls break with the links of their nodes
    # A broken call whose runner then accepts no connection looks as if the request had
    # crashed the runner; its copies would be refused for minutes.
    Given 4 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    And the runners stream slowly
    When nodes "0, 1" lose their links to all runners, "reset" amid 3 streams
    And callers make 20 "idempotent" calls at all nodes, one each 0.05 s
    Then no node has a record of a crash

  Scenario: A runner ends for all nodes
    Given 4 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    When a runner ends
    And callers make 20 "idempotent" calls at all nodes, one each 0.05 s
    Then each of these calls is answered by a runner on its first try
    And its home has paused it after at most 4 reports

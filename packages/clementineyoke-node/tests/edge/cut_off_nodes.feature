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
    And no call was executed twice

    Examples:
      | how      | kind           |
      | silent   | idempotent     |
      | silent   | non_idempotent |
      | silent   | streaming      |
      | reset    | non_idempotent |
      | new_only | non_idempotent |

  Scenario: Cut-off nodes and the runners of the others
    # Two cut-off nodes report each runner that they call as unreachable: if that pauses the
    # runners for all nodes, chats in touch with their runners are moved to others.
    Given 4 nodes and 3 runners, whose links to nodes can be cut
    And callers use all nodes
    When nodes "0, 1" lose their links to all runners, "silent"
    And callers make 40 "idempotent" calls at all nodes, one each 0.05 s
    Then calls at nodes "2, 3" pass over at most 2 paused runners

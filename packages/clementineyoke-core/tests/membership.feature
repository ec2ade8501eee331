Feature: Each node's view of the fleet

  Scenario: A dead node on an outdated host list
    # A host dies and the list still shows it live: a node that believes only the list sends
    # slot requests to a dead home, which time out, for as long as the list lags behind.
    Given a view of 9 nodes
    When node-3 misses 3 probes
    Then node-3 is down in the view
    And the update on node-3 is sent to others

  Scenario: A false alarm is refuted
    # After a partition both sides hold updates that the other is down: an update stands
    # until its node refutes it with a higher incarnation, so a node that cannot would never
    # be a home again although it works.
    Given a view of 9 nodes
    When node-3 misses 3 probes
    And node-3 receives the update that it is down and answers
    Then node-3 is alive in the view

  Scenario: A leaving node gets no work although it still answers
    Given a view of 9 nodes
    When node-3 announces that it is leaving
    And a message from node-3 arrives with its old incarnation
    Then node-3 is leaving in the view

  Scenario: A restarted node is alive again
    Given a view of 9 nodes
    When node-3 announces that it is leaving
    And a message from node-3 arrives with a higher incarnation
    Then node-3 is alive in the view

  Scenario: The host list revokes a leaving mark
    Given a view of 9 nodes
    When the list shows node-3 leaving and then live again
    Then node-3 is alive in the view

  Scenario: A home that leaves a slot request unanswered is probed next
    Given a view of 9 nodes
    When node-5 is suspected
    Then node-5 is probed next
    And node-5 is alive in the view

  Scenario: Nodes that are down are still probed in turn
    Given a view of 9 nodes
    When node-3 misses 3 probes
    Then 80 turns of probing reach every node, including node-3

  Scenario: A leaving node of a large fleet informs every peer
    # A node of 195 that informs only the first peers of a list, and stops after sending the
    # update some 24 times, closes its port while others still send callers to it.
    Given a view of 195 nodes
    When the local node begins to leave
    Then a message to each of 194 peers contains the update

  Scenario Outline: Nodes are killed together
    # A zone loses power, and the others detect this by one probe a round each: with few
    # updates per message, such as three, the updates on the many dead nodes wait for each
    # other, and callers are sent to dead nodes long after. The operator's limit is 7 s: a
    # quiet time of 4 s, and 3 s.
    Given <nodes> nodes that probe each other four times a second
    When <killed> of them are killed at the same moment
    Then after 7 s no other node counts any of them as alive

    Examples:
      | nodes | killed |
      | 81    | 1      |
      | 81    | 27     |
      | 195   | 39     |
      | 410   | 37     |

Feature: Each node's view of the fleet

  Scenario: A dead node on a lagging list
    # Symptom: slot asks to one home time out for as long as the list lags.
    # Sequence: a host dies, the list still shows it live.
    # Cause: only the list was believed; three missed probes must outweigh it.
    Given a view of 9 nodes
    When node-3 misses 3 probes
    Then node-3 is down in the view
    And the rumour of node-3 is told to others

  Scenario: A false alarm heals
    # Symptom: a node that works gets no homes for good.
    # Sequence: a partition ends; both sides hold rumours that the other is down.
    # Cause: a rumour at the same incarnation stands until its subject outbids it.
    Given a view of 9 nodes
    When node-3 misses 3 probes
    And node-3 hears that it is rumoured down and answers
    Then node-3 is alive in the view

  Scenario: A leaving node gets no work though it still answers
    Given a view of 9 nodes
    When node-3 says that it is leaving
    And node-3 is heard from again at its old incarnation
    Then node-3 is leaving in the view

  Scenario: A restarted node is a new one
    Given a view of 9 nodes
    When node-3 says that it is leaving
    And node-3 is heard from with a higher incarnation
    Then node-3 is alive in the view

  Scenario: The list takes a leaving mark back
    Given a view of 9 nodes
    When the list shows node-3 leaving and then live again
    Then node-3 is alive in the view

  Scenario: A home that leaves a slot ask unanswered is probed next
    Given a view of 9 nodes
    When node-5 is suspected
    Then node-5 is probed next
    And node-5 is alive in the view

  Scenario: Probes cost the same whatever happens
    Given a view of 9 nodes
    When node-3 misses 3 probes
    Then 80 turns of probing reach every node, node-3 included

  Scenario: A node that leaves a large fleet tells everyone
    # Symptom: callers are sent to a node that has closed its door, and come back later.
    # Sequence: a node of 195 is told to stop; it tells a few peers, which pass it on.
    # Cause: the first of a list were told, always the same ones, and a rumour was told
    #   some 24 times at most.
    Given a view of 195 nodes
    When the own node begins to leave
    Then a message to each of 194 peers that are told at once says so

  Scenario Outline: Nodes are killed together
    # Symptom: callers are sent to nodes that were killed long ago.
    # Sequence: a zone of nodes loses power; those left find out by probes of one peer a
    #   round, and tell each other three rumours a message.
    # Cause looked for: with many dead at once the news of each waits for the others'.
    # The operator allows 7 s: as long as a calm time of 4 s, and 3 s.
    Given <nodes> nodes that probe each other four times a second
    When <killed> of them are killed at the same moment
    Then after 7 s none of the others names one of them

    Examples:
      | nodes | killed |
      | 81    | 1      |
      | 81    | 27     |
      | 195   | 39     |
      | 410   | 37     |

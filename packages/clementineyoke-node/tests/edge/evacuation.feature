Feature: The operator empties a zone

  Runners stand in two zones, east and west, one in each unless it is said otherwise.

  Scenario: A zone is emptied
    # Symptom: calls go on reaching the runners of a zone that is about to lose power.
    # Sequence: the operator writes the order and the store confirms it.
    # Cause: nothing followed the orders.
    Given a fleet of 2 nodes and 2 runners in "east" and "west"
    When the operator empties "east"
    Then within 1.0 s no new call at any node reaches a runner in "east"
    And calls are still served

  Scenario: The zone is taken back
    Given a fleet of 2 nodes and 2 runners in "east" and "west"
    When the operator empties "east"
    Then within 1.0 s no new call at any node reaches a runner in "east"
    When the operator takes "east" back
    Then within 1.0 s calls at each node reach a runner in "east"

  Scenario: A stream is under way on a runner of the zone
    # Symptom: an order that loses nothing cuts streams.
    # Sequence: the zone is emptied while a runner there streams.
    # Cause: the runner was taken for gone.
    Given a fleet of 1 node and 1 runner in "east"
    And the runners stream slowly
    When the operator empties "east" in the midst of a stream
    Then the stream is whole

  Scenario: All zones are emptied
    # Symptom: callers wait for their whole time and get nothing.
    # Sequence: the operator empties the last zone that serves.
    # Cause: the call queued for runners that get nothing.
    Given a fleet of 1 node and 2 runners in "east" and "west"
    When the operator empties both, "east" and "west"
    Then calls are refused within 0.3 s as not run, to return after 1.0 s

  Scenario: A stream breaks off and may be resumed
    # Symptom: second tries reach the emptied zone though first ones do not.
    # Sequence: the runner in west breaks a stream off; the only other one is in east.
    # Cause: the search for a second runner asked for runners that were not tried only.
    Given a fleet of 1 node and 2 runners in "east" and "west"
    When the operator empties "east"
    And the runners break off each stream
    Then no second try reaches a runner in "east"

  Scenario: A node starts while the store is away
    # Symptom: a node that has just started sends calls to an emptied zone.
    # Sequence: a zone is emptied, the store goes away, a node starts and gets the
    #   desired state and the runners from a peer.
    # Cause: the orders were not handed over, or the node served before it had them.
    Given a fleet of 1 node and 2 runners in "east" and "west"
    When the operator empties "east"
    And the store goes silent and node 1 starts
    Then no call at node 1 reaches a runner in "east"

  Scenario: A node knows everything but the orders
    # Symptom: the first calls of a node that has just started go to an emptied zone.
    # Sequence: it lists the desired state, the runners and the orders side by side; the
    #   answer on the orders comes last.
    # Cause: it served as soon as it knew state and runners.
    Given a view of a node that follows the orders
    When it is told the desired state and the runners
    Then it is not ready
    When it is told that no zone is emptied
    Then it is ready

  Scenario: An entry is told again after the zone's return
    # Symptom: the runners of a zone end as it is taken back, on some days only.
    # Sequence: the zone returns and its runners count as cold; a second watcher
    #   tells of a change that is known, in what they said before.
    # Cause: each repetition was taken for a new word.
    Given a view of a node that follows the orders
    When it is told the desired state and a runner in "east"
    And "east" is emptied and returns
    Then the runner counts as cold
    When the same entry is told again
    Then the runner counts as cold
    When the runner says that it is warm
    Then the runner counts as warm

  Scenario: The store turns a node away
    # Symptom: one node goes on sending to the emptied zone, all others do not.
    # Sequence: the store turns one node away and serves the others; the zone is emptied.
    # Cause: the node waited for its own watch.
    Given a fleet of 2 nodes and 2 runners in "east" and "west"
    When the store turns node 1 away and the operator empties "east"
    Then within 1.5 s no new call at any node reaches a runner in "east"

  Scenario: Watches hear nothing
    # Symptom: the order is never noticed.
    # Sequence: watches hear nothing for a second; the zone is emptied in it; the store
    #   drops its history.
    # Cause: the watch went on from where it had been.
    Given a fleet of 1 node and 2 runners in "east" and "west"
    When watches hear nothing while the operator empties "east"
    Then within 2.0 s no new call at any node reaches a runner in "east"

  Scenario: The zone is emptied, taken back and emptied again
    Given a fleet of 2 nodes and 2 runners in "east" and "west"
    When the operator empties "east", takes it back and empties it again
    Then within 1.0 s no new call at any node reaches a runner in "east"

  Scenario: An operator asks why a runner was passed over
    Given a fleet of 1 node and 2 runners in "east" and "west"
    When the operator empties "east"
    Then within 1.0 s no new call at any node reaches a runner in "east"
    And the decision on the last call names "east" and the order's revision

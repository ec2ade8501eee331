Feature: The operator evacuates a zone

  Runners are in two zones, east and west, one in each unless stated otherwise.

  Scenario: A zone is evacuated
    # Guards against new calls to the runners of a zone that is about to lose power, from
    # nodes that do not follow the operator's evacuations.
    Given a fleet of 2 nodes and 2 runners in "east" and "west"
    When the operator evacuates "east"
    Then within 1.0 s no new call at any node reaches a runner in "east"
    And calls are still served

  Scenario: An evacuation ends
    Given a fleet of 2 nodes and 2 runners in "east" and "west"
    When the operator evacuates "east"
    Then within 1.0 s no new call at any node reaches a runner in "east"
    When the operator ends the evacuation of "east"
    Then within 1.0 s calls at each node reach a runner in "east"

  Scenario: A stream is in flight on a runner of the zone
    # Guards against an evacuation that cuts off streams, because the runners of the zone
    # are treated as removed.
    Given a fleet of 1 node and 1 runner in "east"
    And the runners stream slowly
    When the operator evacuates "east" during a stream
    Then the stream is complete

  Scenario: All zones are evacuated
    # Guards against callers that wait until their deadline: the last zone is evacuated,
    # and calls queue for runners that get no new calls.
    Given a fleet of 1 node and 2 runners in "east" and "west"
    When the operator evacuates both "east" and "west"
    Then calls are refused within 0.3 s as not run, with a Retry-After of 1.0 s

  Scenario: A resumable stream is cut off
    # Guards against retries in an evacuated zone: the runner in west cuts off a stream,
    # and the only untried runner is in east.
    Given a fleet of 1 node and 2 runners in "east" and "west"
    When the operator evacuates "east"
    And the runners cut off each stream
    Then no retry reaches a runner in "east"

  Scenario: A node starts while the store is unreachable
    # Guards against calls to an evacuated zone from a node that has just started: a peer
    # hands over the desired state and the runners without the evacuations, or the node
    # serves calls before it has these.
    Given a fleet of 1 node and 2 runners in "east" and "west"
    When the operator evacuates "east"
    And the store stops answering and node 1 starts
    Then no call at node 1 reaches a runner in "east"

  Scenario: A node knows everything but the evacuations
    # Guards against calls to an evacuated zone from a node that has just started: it lists
    # desired state, runners and evacuations concurrently, and the evacuations come last.
    Given a node's view that follows evacuations
    When it gets the desired state and the runners
    Then it is not ready
    When it gets an empty list of evacuations
    Then it is ready

  Scenario: An entry is repeated after the zone's return
    # Guards against runners that sometimes crash when their zone returns: they count as
    # cold, and a second watcher repeats an older entry in which they were warm.
    Given a node's view that follows evacuations
    When it gets the desired state and a runner in "east"
    And "east" is evacuated and returns
    Then the runner counts as cold
    When it gets the same entry again
    Then the runner counts as cold
    When the runner reports that it is warm
    Then the runner counts as warm

  Scenario: The store refuses one node
    # Guards against one node that goes on sending calls to the evacuated zone: the store
    # refuses its calls and serves the others, and the node waits for its own watch.
    Given a fleet of 2 nodes and 2 runners in "east" and "west"
    When the store refuses node 1 and the operator evacuates "east"
    Then within 1.5 s no new call at any node reaches a runner in "east"

  Scenario: Watches get no answer
    # Guards against an evacuation that is never noticed: watches get no answer for a
    # second, the zone is evacuated in it, the store drops its history, and the watch
    # continues from its former revision.
    Given a fleet of 1 node and 2 runners in "east" and "west"
    When watches get no answer while the operator evacuates "east"
    Then within 2.0 s no new call at any node reaches a runner in "east"

  Scenario: A zone is evacuated, returned and evacuated again
    Given a fleet of 2 nodes and 2 runners in "east" and "west"
    When the operator evacuates "east", ends the evacuation and evacuates it again
    Then within 1.0 s no new call at any node reaches a runner in "east"

  Scenario: An operator looks up why a runner was skipped
    Given a fleet of 1 node and 2 runners in "east" and "west"
    When the operator evacuates "east"
    Then within 1.0 s no new call at any node reaches a runner in "east"
    And the decision on the last call names "east" and the revision of its evacuation

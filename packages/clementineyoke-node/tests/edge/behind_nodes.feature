Feature: Nodes that are behind their peers

  Scenario: A node that is behind asks a peer that knows of its own gap
    # The node counts its own observed time, though the reply shows that its list is old.
    Given 3 nodes and 2 runners of the versions "v1"
    And nodes 1 and 2 get no changes of runners, from the store or node 0
    And no messages about runners reach node 2
    When runners of "v2" begin 6 streams at node 0, which break, and leave
    And node 0 is killed
    And node 1 reads the store again, which has no history
    Then node 2 goes on with none of the streams

  Scenario: A runner's old entry ends between a call and its first event
    # The list names no lifetime any more, and the events were taken for the old one's.
    Given 3 nodes and 2 runners of the versions "v1"
    And the runners' entries have start times
    When runner 0 restarts at version "v2" at once, and 12 calls reach it before its old entry ends
    Then no stream has events of two versions

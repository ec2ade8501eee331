Feature: Runners that restart under their ids at another version

  Scenario Outline: A runner restarts while nodes cannot read the store
    # Its entry still names the version before, and its address and id are the same: what
    # the new version writes was taken for events of the old one.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    And callers have begun 12 streams at node 0, all of which broke
    When <cut> cannot read the store
    And runner 0 crashes, and <witness> learns of it by <evidence>
    And runner 0 starts again at version "v2"
    And every 2nd stream of a runner breaks
    And callers begin 120 streams at <first> and resume broken ones at other nodes
    Then runner 0 began streams again
    And no stream has events of two versions
    And each stream that was begun before goes on at its version, or is refused

    Examples:
      | cut       | witness      | evidence     | first    |
      | its home  | its home     | its calls    | its home |
      | its home  | its home     | broken calls | its home |
      | its home  | another node | its calls    | its home |
      | each node | its home     | its calls    | any node |
      | each node | another node | broken calls | any node |

  Scenario: Others would fetch the memory of a runner that has restarted
    # What the new version keeps of a prompt may not fit, and no runner checks it.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    When each node cannot read the store
    And runner 0 crashes, and its home learns of it by its calls
    And runner 0 starts again at version "v2"
    And callers stream one prompt 12 times at once, twice
    Then runners were told to fetch the prompt, but never of another version

  Scenario: A runner's new entry is read between a call and its first event
    # The call was sent to the version before, and the new one's events were taken for its.
    Given 3 nodes and 2 runners of the versions "v1"
    And the runners' entries have start times
    When runner 0 restarts at version "v2" at once, and 12 calls reach it before its entry is read
    Then no stream has events of two versions

  Scenario: A runner is back at another version at once, and the node of its streams ends
    # The node takes its streams for those of the version before, and may have told peers so.
    Given 3 nodes and 2 runners of the versions "v1"
    And the runners' entries have start times
    When runner 0 is back at version "v2" at once, and node 0 is killed amid 12 streams
    And the entry of runner 0 is read
    Then callers who name attempt 1 get no events of two versions at node 1

  Scenario Outline: A runner restarts with its clock set back or ahead
    # Nodes kept the version before for good, as an entry with an earlier start time is ignored.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    And callers have begun 12 streams at node 0, all of which broke
    When runner 0 restarts at version "v2", and its start time is <step> s <direction>
    And every 2nd stream of a runner breaks
    And callers begin 120 streams at any node and resume broken ones at other nodes
    Then runner 0 began streams again
    And no stream has events of two versions
    And each stream that was begun before goes on at its version, or is refused

    Examples:
      | step | direction |
      | 60   | later     |
      | 60   | earlier   |

  Scenario: The message about a runner's end is lost
    # Nodes that never hear of it go on with streams at its next lifetime.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    When runner 0 crashes, and the first message about it to its home is lost
    Then each node takes its version for unknown within 4 s

  Scenario: Runners break streams and live on
    # A stream that breaks is no sign that its runner has ended.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    And every 2nd stream of a runner breaks
    When callers read 120 streams and resume broken ones at other nodes
    Then no stream has events of two versions
    And streams are resumed at least 0.9 times as often as new ones begin

  Scenario: A runner refuses connections for a moment and lives on
    # Without an end of the doubt, no stream would ever go on at such a runner.
    Given 3 nodes and 3 runners of the versions "v1"
    And the runners' entries have start times
    When runner 0 refuses connections until its home learns of it
    And the store has confirmed the runner's entry for 3 s
    And every 2nd stream of a runner breaks
    And callers read 120 streams and resume broken ones at other nodes
    Then streams are resumed at least 0.9 times as often as new ones begin

  Scenario: A runner stays down while the store is well, and restarts while it is not
    # Its doubt ended while it was down, and its next version's events were taken for v1's.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    And callers have begun 12 streams at node 0, all of which broke
    When runner 0 crashes, and its home learns of it by its calls
    And the store has confirmed the runner's entry for 3 s
    And each node cannot read the store
    And runner 0 starts again at version "v2"
    And every 2nd stream of a runner breaks
    And callers begin 120 streams at any node and resume broken ones at other nodes
    Then runner 0 began streams again
    And no stream has events of two versions
    And each stream that was begun before goes on at its version, or is refused

  Scenario: A node starts in an outage of the store, after a runner has restarted
    # It took the stale list from a peer and knew nothing of the peer's doubts.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    And callers have begun 12 streams at node 0, all of which broke
    When each node cannot read the store
    And runner 0 crashes, and its home learns of it by its calls
    And runner 0 starts again at version "v2"
    And the store is away and a node starts
    And every 2nd stream of a runner breaks
    And callers begin 120 streams at any node and resume broken ones at other nodes
    Then runner 0 began streams again
    And no stream has events of two versions
    And each stream that was begun before goes on at its version, or is refused

  Scenario: All nodes end after a runner has restarted, and before its entry is written
    # The doubt ended with them, and the next version's events were taken for v1's.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    And callers have begun 24 streams at node 0, all of which broke
    When runner 0 crashes, and its home learns of it by its calls
    And runner 0 listens at version "v2" before its entry is written
    And all nodes end and start at once
    Then no node takes the streams for those of "v2"
    And at least 0.95 of the streams go on

  Scenario: Nodes of two builds fetch each other's state
    # A node refuses a state with fields that it does not know.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    When runner 0 crashes, and its home learns of it by its calls
    Then a node of the build before doubts were handed over reads the home's state
    And a node reads a state of that build

  Scenario: The node that began streams before a runner was in doubt ends
    # Only that node had their records, and nobody went on with them.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    And callers have begun 24 streams at node 0, all of which broke
    When runner 0 crashes, and its home learns of it by its calls
    And node 0 is killed
    Then each stream goes on at node 1 at the version that began it

  Scenario: The node that began streams while a runner was in doubt ends
    # Only that node had their records, and nobody went on with them.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    When runner 0 crashes, and its home learns of it by its calls
    And callers begin 24 streams at node 0, all of which break
    And node 0 is killed
    Then each stream goes on at node 1 at the version that began it

  Scenario: A runner lives on, and its home tells nobody
    # A home of an earlier build tells nobody, and the doubts of the others never ended.
    Given 3 nodes and 3 runners of the versions "v1"
    And the runners' entries have start times
    When its home tells no node which runners accept connections
    And runner 0 refuses connections until its home learns of it
    Then each node takes its version for known within 9 s

  Scenario Outline: A runner restarts between its choice and the sending of a call
    # The call reaches the next version at the address of the runner that was chosen.
    Given 3 nodes and 4 runners of the versions "v1"
    And the runners' entries have start times
    And callers have begun 12 streams at node 0, all of which broke
    When a runner restarts under <which> id at version "v2" between its choice and the sending of 24 calls, half of which resume streams
    Then no stream has events of two versions

    Examples:
      | which |
      | its   |
      | a new |

  Scenario Outline: A runner restarts while calls that resume streams are searching for a slot
    # The version was checked before the search, and the call went to whatever had the id after it.
    Given 3 nodes and 2 runners of the versions "v1"
    And the runners' entries have start times
    And callers have begun 12 streams at node 0, all of which broke
    When runner 0 restarts at version "v2" while all are resumed, and <result>
    Then no stream has events of two versions
    And runner 0 got none of their calls
    And each stream that was begun before goes on at its version, or is refused

    Examples:
      | result                      |
      | homes do not reply          |
      | homes have no slot at first |

Feature: Messages about streams that come late, twice or not at all

  Scenario Outline: A stream breaks twice, and its caller resumes it at a third node
    # The attempt that went on with it is one that other nodes do not know by its first id.
    Given 4 nodes and 4 runners of the versions "<versions>"
    And one runner is tried for each call
    And callers have begun 12 streams at node 0, all of which broke
    When callers resume the streams at node 1, where they break again
    And <circumstance>
    Then callers who name attempt <attempt> get no events of two versions at node 2
    And at least <count> streams went on

    Examples:
      | versions | circumstance                             | attempt | count |
      | v1, v2   | nothing else happens                     | 1       | 12    |
      | v1, v2   | nothing else happens                     | 2       | 12    |
      | v1, v2   | node 1 is killed                         | 1       | 12    |
      | v1, v2   | node 1 is killed                         | 2       | 12    |
      | v1       | 4 runners of the version "v2" start      | 1       | 12    |
      | v1       | 4 runners of the version "v2" start      | 2       | 12    |
      | v1       | all runners are replaced by "v2"         | 1       | 0     |
      | v1       | all runners are replaced by "v2"         | 2       | 0     |

  Scenario Outline: A message about a stream comes late or twice
    # A node that takes it for the only record goes on at the version that it names.
    Given 4 nodes and 4 runners of the versions "v1, v2"
    And messages of node 0 about streams are held
    And callers begin 12 streams of "v1" at node 0 and of "v2" at node 1, under one id
    When <event>
    Then callers of the streams of "v2" get no events of two versions at node 2

    Examples:
      | event                                                  |
      | the messages come after those of node 1                |
      | the messages come twice                                |
      | the messages come once node 2 has started again        |
      | they come once node 2 is back, and nodes 1 and 3 ended |

  Scenario Outline: Nodes do not hear of the second of two streams under one id
    # The first answer that has a record decides, though another peer knows of a second stream.
    Given 4 nodes and 4 runners of the versions "v1, v2"
    And messages of node 1 about streams are lost
    And callers begin 12 streams of "v1" at node 0 and of "v2" at node 1, under one id
    When <event>
    Then callers of the streams of "v2" get no events of two versions at node 2

    Examples:
      | event                     |
      | nothing else happens      |
      | node 2 has started again  |

  Scenario: A node with a record does not hear of a stream that a doubtful runner began
    # In a pool of one version it asked no peer about another stream under the same id.
    Given 3 nodes and 2 runners of the versions "v1"
    And the runners' entries have start times
    And messages of node 1 about streams are lost
    And callers begin 6 streams of "v1" at node 0
    When each node cannot read the store
    And runner 0 crashes, and its home learns of it by its calls
    And runner 0 starts again at version "v2"
    And callers begin 6 streams of "v2" at node 1 under these ids
    Then callers of the streams of "v2" get no events of two versions at node 0

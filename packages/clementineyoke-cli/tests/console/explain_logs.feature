Feature: The story of a request from the logs of several nodes

  Scenario: A request failed at one node and came back at another
    Given the logs of 2 nodes, collected with a prefix and with a torn last line
    When the operator explains the request "r-1" by them
    Then the story names in order "routed, runner_failed, route_refused, runner_paused"
    And it says nothing of the request "r-2"

  Scenario: Nobody has logged the request
    Given the logs of 2 nodes, collected with a prefix and with a torn last line
    When the operator explains the request "r-9" by them
    Then the command fails and names the request and the files

  Scenario: A request was refused for what its earlier copies did
    # Symptom: a caller asks why it is refused, and the log names other ids only.
    # Sequence: copies with ids of their own end runners at two nodes; one more is refused.
    # Cause: a story was found by the id alone.
    Given the logs of 2 nodes that refuse the copy "r-3" for "r-1" and "r-2"
    When the operator explains the request "r-3" by them
    Then the story names in order "runner_failed, runner_failed, request_suspected, request_barred, route_refused"
    And it says nothing of the request "r-4"

  Scenario: A request went elsewhere for what a runner had signalled to another one
    # Guards against a story that does not say why a runner was passed over.
    Given the logs of 2 nodes, in which "r-1" and "r-2" heard runners that "r-3" passed over
    When the operator explains the request "r-3" by them
    Then the story names in order "runner_draining, runner_backoff, routed, answered"
    And it says nothing of the request "r-4"

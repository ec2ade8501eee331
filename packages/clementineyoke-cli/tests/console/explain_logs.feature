Feature: Timeline of a request from the logs of several nodes

  Scenario: A request failed at one node and its runner was paused by another
    Given the logs of 2 nodes, collected with a prefix and with an incomplete last line
    When the operator runs explain for the request "r-1" on these logs
    Then the timeline lists in order "routed, runner_failed, route_refused, runner_paused"
    And it does not contain the request "r-2"

  Scenario: The request is in none of the logs
    Given the logs of 2 nodes, collected with a prefix and with an incomplete last line
    When the operator runs explain for the request "r-9" on these logs
    Then the command fails with an error that names the request and the files

  Scenario: A request was refused because earlier copies crashed runners
    # The crashes are logged under the ids of earlier copies, so that a search by id alone finds no reason for the refusal.
    Given the logs of 2 nodes that refuse the copy "r-3" because of "r-1" and "r-2"
    When the operator runs explain for the request "r-3" on these logs
    Then the timeline lists in order "runner_failed, runner_failed, request_suspected, request_barred, route_refused"
    And it does not contain the request "r-4"

  Scenario: A request was refused because other requests with a part of its prompt crashed runners
    # No two of the requests are alike: only the part that they share links them.
    Given the logs of 2 nodes that refuse "r-3" because of the part that "r-1" and "r-2" share
    When the operator runs explain for the request "r-3" on these logs
    Then the timeline lists in order "runner_failed, runner_failed, request_suspected, request_barred, route_refused"
    And it does not contain the request "r-4"

  Scenario: A request passed over runners because of signals in responses to other requests
    # The signals are logged under the ids of other requests, so that a search by id alone does not show them.
    Given the logs of 2 nodes in which "r-1" and "r-2" got signals of runners that "r-3" passed over
    When the operator runs explain for the request "r-3" on these logs
    Then the timeline lists in order "runner_draining, runner_backoff, routed, answered"
    And it does not contain the request "r-4"

  Scenario: A request was forwarded by a node that reached no runner
    # The node has known for a long time that it is cut off, and says so once only.
    Given the logs of a node that lost a pool and forwarded "r-3", and of its peer
    When the operator runs explain for the request "r-3" on these logs
    Then the timeline lists in order "pool_unreachable, pool_brittle, forwarded, routed, answered, answered"
    And it does not contain the request "r-4"

  Scenario: A request resumed a stream that another one had begun
    # The version that may go on was fixed by a request with another id, at another node.
    Given the logs of a node at which "r-1" began a stream, and of one at which "r-3" resumed it
    When the operator runs explain for the request "r-3" on these logs
    Then the timeline lists in order "pool_versions, routed, answer_cut, stream_resumed, routed, answered"
    And it does not contain the request "r-4"

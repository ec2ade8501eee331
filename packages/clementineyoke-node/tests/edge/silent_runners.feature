Feature: Runners that are silent for a second

  Scenario Outline: Connections outlive the silence
    # With a short TCP_USER_TIMEOUT the kernel gives up on keep-alive probes and unacknowledged
    # data, and a call that may not be repeated is lost with its connection.
    Given 1 nodes and 1 runners, whose links to nodes can be cut
    And the runners answer after <answer_s> s
    When a "non_idempotent" call is on its way while all runners are silent for <silent_s> s
    Then the caller gets 200 and its own response, with the runner's signature
    And the runners received 1 call

    Examples:
      | answer_s | silent_s |
      | 0.1      | 1.2      |
      | 1.5      | 1.0      |

  Scenario: A call is sent on a kept connection of a silent runner
    # What is sent stays unacknowledged until the runner goes on.
    Given 1 nodes and 1 runners, whose links to nodes can be cut
    And callers use all nodes
    When a "non_idempotent" call is sent just after all runners fall silent for 1.2 s
    Then the caller gets 200 and its own response, with the runner's signature

  Scenario: Many calls find a runner silent
    # Each call that finds no connection prolongs the quarantine: with ten of them the runner
    # is out of use for half a minute.
    Given 1 nodes and 2 runners, whose links to nodes can be cut
    And callers use all nodes
    When nodes "0" lose their links to one runner, "silent"
    And 12 calls that may be repeated are made at once
    And the links are back for 1.5 s
    Then no node has a quarantined runner

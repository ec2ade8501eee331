Feature: Signals of runners in their answers

  Scenario Outline: The head of an answer
    When the head of an answer has status <status> and "<fields>"
    Then its runner is <state> and asks for <backoff> ms of backoff

    Examples:
      | status | fields                         | state    | backoff |
      | 200    | Server-Leaving: 1              | draining | 0       |
      | 500    | server-leaving: 1              | draining | 0       |
      | 200    | Server-Leaving: 0              | staying  | 0       |
      | 200    | Connection: close              | staying  | 0       |
      | 421    | Server-Leaving: 1              | staying  | 0       |
      | 503    | Retry-After: 3                 | staying  | 3000    |
      | 429    | Retry-After: 0.25              | staying  | 250     |
      | 200    | Retry-After: 3                 | staying  | 0       |
      | 503    | Retry-After: soon              | staying  | 0       |
      | 503    | Retry-After: -1                | staying  | 0       |
      | 503    | Retry-After: nan               | staying  | 0       |
      | 503    | Retry-After: inf               | staying  | 3600000 |

  Scenario Outline: An operator asks what a call's runner signalled
    # Guards against decisions that cannot be explained by the runner's signal.
    Given a fleet of 1 node and 1 runner
    And runner 1 <says>
    When a caller makes a "non_idempotent" call with the id "asked-for"
    Then the decisions on "asked-for" hold "<event>"

    Examples:
      | says                                         | event          |
      | signals in its answers that it drains           | runner_draining |
      | refuses all calls with a backoff of 3 s   | runner_backoff |

  Scenario: A runner drains while the store is away
    # Guards against new work on a runner whose answers alone signal its drain.
    Given a fleet of 1 node and 2 runners
    When the store goes silent
    And runner 1 signals in its answers that it drains
    And 40 calls come at node 1 until runner 1 has answered
    And 40 more calls come at node 1
    Then none of those reached runner 1
    And all of them are answered

  Scenario Outline: Any answer may signal that its runner drains
    # Guards against a status whose headers are not read.
    Given a fleet of 1 node and 2 runners
    When runner 1 signals in its answers that it drains
    And runner 1 answers each call as "<act>"
    And 40 calls come at node 1 until runner 1 has answered
    And 40 more calls come at node 1
    Then none of those reached runner 1

    Examples:
      | act     |
      | stream  |
      | fail    |
      | refuse  |
      | crossed |

  Scenario: A stream is under way on a draining runner
    # Guards against a drain that cuts what runs.
    Given a fleet of 1 node and 1 runner
    And the runners stream slowly
    And runner 1 signals in its answers that it drains
    When a caller makes a "streaming" call
    Then the caller gets the events 1 to 6, each once and whole

  Scenario: Other nodes are told
    # Guards against each node that must meet the draining runner by itself.
    Given a fleet of 2 nodes and 2 runners that know of one another
    When the store goes silent
    And runner 1 signals in its answers that it drains
    And 40 calls come at node 1 until runner 1 has answered
    Then node 2 knows within 1 s that runner 1 drains
    When 40 more calls come at node 2
    Then none of those reached runner 1

  Scenario: The home of a draining runner is in another zone
    # Guards against grants by a home that only its zone's news could tell.
    Given a fleet of 2 nodes in "east" and "west" and 2 runners that know of one another
    When the store goes silent
    And runner 1 signals in its answers that it drains
    And 40 calls come where runner 1 has no home until it has answered
    Then all nodes know within 1 s that runner 1 drains

  Scenario: A node starts while the store is away
    # Guards against a drain that a node's start forgets.
    Given a fleet of 1 node and 2 runners
    When the store goes silent
    And runner 1 signals in its answers that it drains
    And 40 calls come at node 1 until runner 1 has answered
    And node 2 starts
    And 40 more calls come at node 2
    Then none of those reached runner 1

  Scenario: A runner refuses and asks to back off
    # Guards against calls to a runner within the backoff that it asked for.
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls with a backoff of 20 s
    And 40 calls come at node 1 until runner 1 has answered
    And 40 more calls come at node 1
    Then none of those reached runner 1
    And all of them are answered

  Scenario: A second try after a refusal with a backoff
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls with a backoff of 20 s
    And 40 "idempotent" calls come at node 1
    Then all of them are answered
    And runner 1 saw 1 call

  Scenario: The backoff is over
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls with a backoff of 0.4 s
    And 40 calls come at node 1 until runner 1 has answered
    And runner 1 answers each call as "ok" and its backoff has passed
    And 40 more calls come at node 1
    Then some of those reached runner 1

  Scenario: All runners of a pool ask to back off
    # Guards against calls pressed on such runners, and callers that wait in vain.
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls with a backoff of 20 s
    And runner 2 refuses all calls with a backoff of 10 s
    And 40 calls come at node 1 until runner 1 has answered
    And 40 calls come at node 1 until runner 2 has answered
    And 10 more calls come at node 1
    Then none of those reached runner 1
    And none of those reached runner 2
    And each is refused as not run within 0.2 s, to return after 9 s to 11 s

  Scenario: The runner's entry ends and returns within the backoff
    # Guards against a backoff that a change of the list forgets.
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls with a backoff of 20 s
    And 40 calls come at node 1 until runner 1 has answered
    And the entry of runner 1 ends and returns
    And 40 more calls come at node 1
    Then none of those reached runner 1

  Scenario: A backoff binds the node that was refused
    Given a fleet of 2 nodes and 2 runners that know of one another
    When runner 1 refuses all calls with a backoff of 20 s
    And 40 calls come at node 1 until runner 1 has answered
    And runner 1 answers each call as "ok"
    And 40 more calls come at node 2
    Then some of those reached runner 1

  Scenario Outline: An operator asks why a call went elsewhere
    # Guards against calls that pass over a runner without a word.
    Given a fleet of 1 node and 2 runners
    When runner 1 <says>
    And 40 calls come at node 1 until runner 1 has answered
    And 20 more calls come at node 1
    Then the decision on one of those names runner 1 as <why>

    Examples:
      | says                                        | why      |
      | signals in its answers that it drains          | draining |
      | refuses all calls with a backoff of 20 s | backoff  |

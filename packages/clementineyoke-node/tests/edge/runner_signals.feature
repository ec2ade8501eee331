Feature: Signals that runners send in their responses

  Scenario Outline: The head of a response
    When the head of a response has status <status> and "<fields>"
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

  Scenario Outline: The explanation of a call shows what its runner signalled
    # A decision that follows from a runner's signal must be explained by that signal.
    Given a fleet of 1 node and 1 runner
    And runner 1 <signal>
    When a caller makes a "non_idempotent" call with the id "asked-for"
    Then the decisions on "asked-for" include "<event>"

    Examples:
      | signal                                       | event           |
      | announces in its responses that it drains    | runner_draining |
      | refuses all calls with a backoff of 3 s      | runner_backoff  |

  Scenario: A runner drains while the store is unavailable
    # Without the store only a runner's own responses announce its drain.
    Given a fleet of 1 node and 2 runners
    When the store stops responding
    And runner 1 announces in its responses that it drains
    And up to 40 calls arrive at node 1 until runner 1 has answered
    And 40 more calls arrive at node 1
    Then none of those reached runner 1
    And all of them are answered

  Scenario Outline: Any response may announce that its runner drains
    # A drain is missed if the headers of some responses are not examined.
    Given a fleet of 1 node and 2 runners
    When runner 1 announces in its responses that it drains
    And runner 1 answers each call as "<act>"
    And up to 40 calls arrive at node 1 until runner 1 has answered
    And 40 more calls arrive at node 1
    Then none of those reached runner 1

    Examples:
      | act     |
      | stream  |
      | fail    |
      | refuse  |
      | crossed |

  Scenario: A stream is in progress on a draining runner
    # A drain must not cut what is already running.
    Given a fleet of 1 node and 1 runner
    And the runners stream slowly
    And runner 1 announces in its responses that it drains
    When a caller makes a "streaming" call
    Then the caller gets the events 1 to 6, each once and whole

  Scenario: Other nodes are notified of a drain
    # Without a notification each node sends calls to the runner until it sees the signal.
    Given a fleet of 2 nodes and 2 runners that know each other
    When the store stops responding
    And runner 1 announces in its responses that it drains
    And up to 40 calls arrive at node 1 until runner 1 has answered
    Then node 2 knows within 1 s that runner 1 drains
    When 40 more calls arrive at node 2
    Then none of those reached runner 1

  Scenario: The home node of a draining runner is in another zone
    # A notification within the observer's zone only leaves the home node granting slots.
    Given a fleet of 2 nodes in "east" and "west" and 2 runners that know each other
    When the store stops responding
    And runner 1 announces in its responses that it drains
    And up to 40 calls arrive at the node that is not runner 1's home until it has answered
    Then all nodes know within 1 s that runner 1 drains

  Scenario: A node starts while the store is unavailable
    # A node that starts must learn of a drain that is not in the store.
    Given a fleet of 1 node and 2 runners
    When the store stops responding
    And runner 1 announces in its responses that it drains
    And up to 40 calls arrive at node 1 until runner 1 has answered
    And node 2 starts
    And 40 more calls arrive at node 2
    Then none of those reached runner 1

  Scenario: A runner refuses calls and asks for backoff
    # No call may go to a runner within the backoff that it asked for.
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls with a backoff of 20 s
    And up to 40 calls arrive at node 1 until runner 1 has answered
    And 40 more calls arrive at node 1
    Then none of those reached runner 1
    And all of them are answered

  Scenario: A call is retried after a refusal with a backoff
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls with a backoff of 20 s
    And 40 "idempotent" calls arrive at node 1
    Then all of them are answered
    And runner 1 received 1 call

  Scenario: The backoff has passed
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls with a backoff of 0.4 s
    And up to 40 calls arrive at node 1 until runner 1 has answered
    And runner 1 answers each call as "ok" and its backoff has passed
    And 40 more calls arrive at node 1
    Then some of those reached runner 1

  Scenario: All runners of a pool ask for backoff
    # Calls must not be forced on such runners, and callers must not wait for one in vain.
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls with a backoff of 20 s
    And runner 2 refuses all calls with a backoff of 10 s
    And up to 40 calls arrive at node 1 until runner 1 has answered
    And up to 40 calls arrive at node 1 until runner 2 has answered
    And 10 more calls arrive at node 1
    Then none of those reached runner 1
    And none of those reached runner 2
    And each is refused as not run within 0.2 s, with a Retry-After of 9 s to 11 s

  Scenario: A runner's entry is removed and added again within the backoff
    # A change of the runner list must not discard the backoff.
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls with a backoff of 20 s
    And up to 40 calls arrive at node 1 until runner 1 has answered
    And the entry of runner 1 is removed and added again
    And 40 more calls arrive at node 1
    Then none of those reached runner 1

  Scenario: A backoff applies to the node that was refused
    Given a fleet of 2 nodes and 2 runners that know each other
    When runner 1 refuses all calls with a backoff of 20 s
    And up to 40 calls arrive at node 1 until runner 1 has answered
    And runner 1 answers each call as "ok"
    And 40 more calls arrive at node 2
    Then some of those reached runner 1

  Scenario Outline: The explanation of a call names a runner that was passed over
    # Passing over a runner without recording it leaves the choice unexplained.
    Given a fleet of 1 node and 2 runners
    When runner 1 <signal>
    And up to 40 calls arrive at node 1 until runner 1 has answered
    And 20 more calls arrive at node 1
    Then the decision on one of those names runner 1 as <reason>

    Examples:
      | signal                                    | reason   |
      | announces in its responses that it drains | draining |
      | refuses all calls with a backoff of 20 s  | backoff  |

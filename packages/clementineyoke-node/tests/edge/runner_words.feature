Feature: What runners say of themselves in their answers

  Scenario Outline: The head of an answer
    When the head of an answer has status <status> and "<fields>"
    Then its runner is said to be <leaving> and wants <rest> ms of rest

    Examples:
      | status | fields                         | leaving | rest    |
      | 200    | Server-Leaving: 1              | leaving | 0       |
      | 500    | server-leaving: 1              | leaving | 0       |
      | 200    | Server-Leaving: 0              | staying | 0       |
      | 200    | Connection: close              | staying | 0       |
      | 421    | Server-Leaving: 1              | staying | 0       |
      | 503    | Retry-After: 3                 | staying | 3000    |
      | 429    | Retry-After: 0.25              | staying | 250     |
      | 200    | Retry-After: 3                 | staying | 0       |
      | 503    | Retry-After: soon              | staying | 0       |
      | 503    | Retry-After: -1                | staying | 0       |
      | 503    | Retry-After: nan               | staying | 0       |
      | 503    | Retry-After: inf               | staying | 3600000 |

  Scenario Outline: An operator asks what a call's runner said of itself
    # Guards against decisions that cannot be explained by what the runner said.
    Given a fleet of 1 node and 1 runner
    And runner 1 <says>
    When a caller makes a "non_idempotent" call with the id "asked-for"
    Then the decisions on "asked-for" hold "<event>"

    Examples:
      | says                                         | event          |
      | says in its answers that it leaves           | runner_leaving |
      | refuses all calls and asks for 3 s of rest   | runner_resting |

  Scenario: A runner leaves while the store is away
    # Guards against new work on a runner whose leaving its answers alone tell.
    Given a fleet of 1 node and 2 runners
    When the store goes silent
    And runner 1 says in its answers that it leaves
    And 40 calls come at node 1 until runner 1 has answered
    And 40 more calls come at node 1
    Then none of those reached runner 1
    And all of them are answered

  Scenario Outline: Whatever it answers says that a runner leaves
    # Guards against an answer whose head is not heard.
    Given a fleet of 1 node and 2 runners
    When runner 1 says in its answers that it leaves
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

  Scenario: A stream is under way on a leaving runner
    # Guards against a word of leaving that cuts what runs.
    Given a fleet of 1 node and 1 runner
    And the runners stream slowly
    And runner 1 says in its answers that it leaves
    When a caller makes a "streaming" call
    Then the caller gets the events 1 to 6, each once and whole

  Scenario: Other nodes are told
    # Guards against each node that must meet the leaving runner by itself.
    Given a fleet of 2 nodes and 2 runners that know of one another
    When the store goes silent
    And runner 1 says in its answers that it leaves
    And 40 calls come at node 1 until runner 1 has answered
    Then node 2 knows within 1 s that runner 1 leaves
    When 40 more calls come at node 2
    Then none of those reached runner 1

  Scenario: The home of a leaving runner is in another zone
    # Guards against grants by a home that only its zone's news could tell.
    Given a fleet of 2 nodes in "east" and "west" and 2 runners that know of one another
    When the store goes silent
    And runner 1 says in its answers that it leaves
    And 40 calls come where runner 1 has no home until it has answered
    Then all nodes know within 1 s that runner 1 leaves

  Scenario: A node starts while the store is away
    # Guards against a leaving that a node's start forgets.
    Given a fleet of 1 node and 2 runners
    When the store goes silent
    And runner 1 says in its answers that it leaves
    And 40 calls come at node 1 until runner 1 has answered
    And node 2 starts
    And 40 more calls come at node 2
    Then none of those reached runner 1

  Scenario: A runner refuses and asks for rest
    # Guards against calls to a runner within the time for which it wanted none.
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls and asks for 20 s of rest
    And 40 calls come at node 1 until runner 1 has answered
    And 40 more calls come at node 1
    Then none of those reached runner 1
    And all of them are answered

  Scenario: A second try after a refusal that asks for rest
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls and asks for 20 s of rest
    And 40 "idempotent" calls come at node 1
    Then all of them are answered
    And runner 1 saw 1 call

  Scenario: The rest is over
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls and asks for 0.4 s of rest
    And 40 calls come at node 1 until runner 1 has answered
    And runner 1 answers each call as "ok" and its rest has passed
    And 40 more calls come at node 1
    Then some of those reached runner 1

  Scenario: All runners of a pool want rest
    # Guards against calls pressed on resting runners, and callers that wait in vain.
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls and asks for 20 s of rest
    And runner 2 refuses all calls and asks for 10 s of rest
    And 40 calls come at node 1 until runner 1 has answered
    And 40 calls come at node 1 until runner 2 has answered
    And 10 more calls come at node 1
    Then none of those reached runner 1
    And none of those reached runner 2
    And each is refused as not run within 0.2 s, to return after 9 s to 11 s

  Scenario: A resting runner's entry ends and returns
    # Guards against a rest that a change of the list forgets.
    Given a fleet of 1 node and 2 runners
    When runner 1 refuses all calls and asks for 20 s of rest
    And 40 calls come at node 1 until runner 1 has answered
    And the entry of runner 1 ends and returns
    And 40 more calls come at node 1
    Then none of those reached runner 1

  Scenario: A rest binds the node that was asked for it
    Given a fleet of 2 nodes and 2 runners that know of one another
    When runner 1 refuses all calls and asks for 20 s of rest
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
      | says                                        | why     |
      | says in its answers that it leaves          | leaving |
      | refuses all calls and asks for 20 s of rest | resting |

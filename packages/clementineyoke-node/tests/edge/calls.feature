Feature: Calls through a node on the platform

  Scenario: A runner answers
    Given a fleet of 1 node and 2 runners
    When a caller makes a "non_idempotent" call
    Then the caller gets 200 and its own answer, with the runner's proof
    And the runner saw the call's id, its team and its own id, and no key

  Scenario: What only the system may set does not come from a caller
    # Symptom: a caller's request takes the place that was reserved for another.
    # Sequence: a caller sends headers that are meant between system and runner.
    # Cause: all of a caller's headers were handed on.
    Given a fleet of 1 node and 1 runner
    When a caller makes a "idempotent" call with "X-Hold: h, Kv-From: x, X-Tenant: other, X-Custom: mine"
    Then the runner saw "x-custom: mine, x-tenant: team-one"
    And the runner saw no "x-hold, kv-from"

  Scenario: A call with two ids
    Given a fleet of 1 node and 1 runner
    When a caller makes a call with two ids
    Then the caller gets 400
    And the runners saw 0 calls

  Scenario: An idempotent call fails at one runner
    Given a fleet of 1 node and 2 runners
    And the next call is answered as "fail"
    When a caller makes a "idempotent" call
    Then the caller gets 200 and its own answer, with the runner's proof
    And the runners saw 2 calls

  Scenario: The last runner of a call is slow
    # Symptom: calls fail with 502 after 0.6 s while a runner is at work on them.
    # Sequence: the first runner is silent and is given up for the second one, which is
    #   slow as well; no third one may be tried.
    # Cause: the last runner was given up as early as one that another could replace.
    Given a fleet of 1 node and 2 runners
    And the next 2 calls are answered as "slow"
    When a caller makes a "idempotent" call
    Then the caller gets 200 and its own answer, with the runner's proof
    And the runners saw 2 calls

  Scenario: The only runner of a call is slow
    Given a fleet of 1 node and 1 runner
    And the next 2 calls are answered as "slow"
    When a caller makes a "idempotent" call
    Then the caller gets 200 and its own answer, with the runner's proof
    And the runners saw 1 call

  Scenario Outline: A call that may not be repeated has no whole answer
    # Symptom: one booking is made twice, or a caller is told that it was not made.
    # Sequence: a runner runs the call and its answer breaks off, in one of many ways.
    # Cause: the node sent it again, or answered with a status that promises "not run".
    Given a fleet of 1 node and 2 runners
    And the next call is answered as "<act>"
    When a caller makes a "non_idempotent" call
    Then the caller gets 502
    And the runners saw 1 call

    Examples:
      | act            |
      | reset          |
      | unframed_reset |
      | crossed        |
      | no_proof       |
      | busy           |

  Scenario: A runner refuses a call that may be sent to one runner only
    Given a fleet of 1 node and 2 runners
    And the next call is answered as "refuse"
    When a caller makes a "non_idempotent" call
    Then the caller gets 503 and a time to return
    And the runners saw 1 call

  Scenario: An answer without a length ends in order
    Given a fleet of 1 node and 1 runner
    And the next call is answered as "unframed"
    When a caller makes a "non_idempotent" call
    Then the caller gets 200 and its own answer, with the runner's proof

  Scenario: A second answer comes late
    # Symptom: a caller gets another caller's answer.
    # Sequence: a runner answers twice; the second answer waits in the kept connection.
    # Cause: the connection was used again without a look at what had come on it.
    Given a fleet of 1 node and 1 runner
    And the next call is answered as "extra"
    When a caller makes a "idempotent" call with the id "call-1"
    And the late answer has come
    And a caller makes a "non_idempotent" call with the id "call-2"
    Then the caller gets 200 and the answer to "call-2"
    And the runners saw 2 calls

  Scenario: A key is withdrawn
    Given a fleet of 1 node and 1 runner
    When the operator withdraws the key
    Then calls are refused with 401 within 2 s

  Scenario: Runners forget connections that rest
    # Symptom: one booking in ten fails on quiet evenings, each with 502.
    # Sequence: a call is answered; its connection rests and the runner forgets it; the
    #   next call goes out on it and is reset, with no word on whether it ran.
    # Cause: a call that must not run twice went out on any kept connection.
    Given a fleet of 1 node and 1 runner
    And the runners forget connections that rest
    When a caller makes 6 "non_idempotent" calls one after another
    Then 5 of them are answered

  Scenario: Runners say how long they keep connections that rest
    # Guards against a call on a connection that its runner has said it would drop.
    Given a fleet of 1 node and 1 runner
    And the runners say that they keep resting connections for 1 s
    When a caller makes 3 "non_idempotent" calls, 1.2 s after one another
    Then 3 of them are answered

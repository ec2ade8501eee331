Feature: Calls forwarded by a node

  Scenario: A runner answers
    Given a fleet of 1 node and 2 runners
    When a caller makes a "non_idempotent" call
    Then the caller gets 200 and its own response, with the runner's signature
    And the runner received the call's id, its team and the runner's id, but no key

  Scenario: Callers cannot set headers that are reserved for the system
    # A node that passes such headers on lets a caller take a place held for another one.
    Given a fleet of 1 node and 1 runner
    When a caller makes a "idempotent" call with "X-Hold: h, Kv-From: x, X-Tenant: other, X-Custom: mine"
    Then the runner received "x-custom: mine, x-tenant: team-one"
    And the runner received no "x-hold, kv-from"

  Scenario: A call with two ids
    Given a fleet of 1 node and 1 runner
    When a caller makes a call with two ids
    Then the caller gets 400
    And the runners received 0 calls

  Scenario: An idempotent call fails at one runner
    Given a fleet of 1 node and 2 runners
    And the next call is answered as "fail"
    When a caller makes a "idempotent" call
    Then the caller gets 200 and its own response, with the runner's signature
    And the runners received 2 calls

  Scenario: The last runner of a call is slow
    # If the last runner is abandoned as early as the silent first one, the call fails with
    # 502 after 0.6 s while the last runner is working on it.
    Given a fleet of 1 node and 2 runners
    And the next 2 calls are answered as "slow"
    When a caller makes a "idempotent" call
    Then the caller gets 200 and its own response, with the runner's signature
    And the runners received 2 calls

  Scenario: The only runner of a call is slow
    Given a fleet of 1 node and 1 runner
    And the next 2 calls are answered as "slow"
    When a caller makes a "idempotent" call
    Then the caller gets 200 and its own response, with the runner's signature
    And the runners received 1 call

  Scenario Outline: A call that may not be repeated gets no valid response
    # The runner runs the call, but its response is lost or unusable. Sending the call again,
    # or returning a status that means "not run", leads to a double booking.
    Given a fleet of 1 node and 2 runners
    And the next call is answered as "<act>"
    When a caller makes a "non_idempotent" call
    Then the caller gets 502
    And the runners received 1 call

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
    And the runners received 1 call

  Scenario: A response without a length ends with an orderly close
    Given a fleet of 1 node and 1 runner
    And the next call is answered as "unframed"
    When a caller makes a "non_idempotent" call
    Then the caller gets 200 and its own response, with the runner's signature

  Scenario: A second response arrives late
    # A runner answers twice. Its second response waits in the kept-alive connection and
    # would be read as the response to the next caller's call.
    Given a fleet of 1 node and 1 runner
    And the next call is answered as "extra"
    When a caller makes a "idempotent" call with the id "call-1"
    And the late response has arrived
    And a caller makes a "non_idempotent" call with the id "call-2"
    Then the caller gets 200 and the response to "call-2"
    And the runners received 2 calls

  Scenario: A key is withdrawn
    Given a fleet of 1 node and 1 runner
    When the operator withdraws the key
    Then calls are refused with 401 within 2 s

  Scenario: Runners silently drop idle connections
    # A non-idempotent call on a connection that its runner has dropped is reset, and
    # nothing tells whether it ran: on quiet evenings one booking in ten failed with 502.
    Given a fleet of 1 node and 1 runner
    And the runners silently drop idle connections
    When a caller makes 6 "non_idempotent" calls one after another
    Then 5 of them are answered

  Scenario: Runners announce how long they keep idle connections
    # A call must not go out on a connection that its runner has announced to drop by then.
    Given a fleet of 1 node and 1 runner
    And the runners announce that they keep idle connections for 1 s
    When a caller makes 3 "non_idempotent" calls, 1.2 s after one another
    Then 3 of them are answered

  Scenario Outline: A runner sends its refusal twice, the second time late
    # A refusal has no id: its copy passes for the answer to the next call, which has run.
    Given a fleet of 1 node and 2 runners
    And runner 0 refuses its first call without an id, and sends that again amid the next call
    When 12 calls are made to a <kind> route
    Then each answered call was executed once, and no refused one

    Examples:
      | kind           |
      | non_idempotent |
      | idempotent     |

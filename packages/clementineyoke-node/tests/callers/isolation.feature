Feature: Each caller receives its own complete response or a correct outcome

  Scenario: A runner breaks the connection after executing a PUT
    # A score would be counted twice if the HTTP client resent the PUT on its own after
    # the connection broke before the response's head.
    Given a node with simulated runners
    When the service breaks the connection of a non-idempotent PUT after executing it
    Then the call was executed once
    And the caller receives the outcome unknown

  Scenario: A chat's runner breaks the connection and there is no other runner
    # A chat that a runner had started would be reported as "not run" if the outcome of
    # its retry, which finds no runner, were reported for the whole request.
    Given a node with simulated runners and 1 engine
    When all engines break each connection after executing
    And a chat is sent
    Then the caller receives the outcome unknown

  Scenario: A runner responds with another request's id
    # A caller would read another's text if a runner mixed up two responses and the
    # echoed id, the only sign of whose response it is, were not checked.
    Given a node with simulated runners
    When the engine of a chat will send its next response with another request's id
    And the chat sends its next request
    Then the caller receives its own complete response
    And the request was retried at another engine

  Scenario: A stream ends cleanly but too early
    # Half a response would pass for all of it if a runner ended the chunked body but
    # left out the stream's end mark: the framing does not show that it is complete.
    Given a node with simulated runners
    When the engines omit the end mark
    And a chat is sent and its response is truncated
    Then the caller sees an aborted connection

  Scenario: A stream that quotes the end mark ends cleanly but too early
    # A part of a response would pass for all of it if its text contained the end mark.
    Given a node with simulated runners
    When the engines omit the end mark and quote it in their last token
    And a chat is sent and its response is truncated
    Then the caller sees an aborted connection

  Scenario: A stream breaks in the middle
    Given a node with simulated runners
    When the engines break streams in the middle
    And a chat is sent and its response is truncated
    Then the caller sees an aborted connection

  Scenario: Nothing listens at a runner's address
    Given a node with simulated runners and 1 engine
    When an engine without a listener is added to the host list
    Then 20 chats receive complete responses
    And the engine without a listener is quarantined

  Scenario: A caller's disconnect cancels its work on the runner
    Given a node with simulated runners and 1 engine
    When a caller closes its stream after the first token
    Then the engine counts a cancelled chat
    And no slot is held

  Scenario: A call with an idempotency key is repeated
    Given a node with simulated runners
    When a call with an idempotency key is sent 3 times concurrently and once more
    Then the call was executed once
    And the last caller receives the stored response
    And the same key with another body is refused

  Scenario: The platform is unreachable
    Given a node with simulated runners
    When the platform is unreachable and a call with an idempotency key is sent
    Then the caller receives the outcome not_run and a retry time
    And the call was never executed
    And a chat still receives a complete response

  Scenario Outline: Invalid input is refused and does not affect other requests
    Given a node with simulated runners
    When a caller sends <input>
    Then it is refused with status <status> at step <step>
    And a chat still receives a complete response

    Examples:
      | input             | status | step         |
      | malformed JSON    | 400    | parse_chat   |
      | an oversized body | 413    | read_body    |
      | a bad deadline    | 400    | read_headers |
      | an unknown team   | 401    | authenticate |
      | a wrong key       | 401    | authenticate |
      | no key            | 401    | authenticate |
      | another model     | 403    | authorize    |

  Scenario: More requests than runner slots
    # Half of a burst of 24 chats for an engine of 16 slots would be refused, though
    # slots are soon free, if requests without a slot were not queued.
    Given a node with simulated runners and 1 engine
    When 24 chats are sent concurrently
    Then all 24 receive complete responses
    And the engine never ran more than 16 concurrently
    And no slot is held

  Scenario: A runner drains before the host list shows it
    # Chats would be refused for seconds, until the host list shows the drain, if the
    # runner's own response, which shows it first, were ignored.
    Given a node with simulated runners
    When the engine of a chat starts to drain
    And the chat sends its next request
    Then the caller receives its own complete response
    And 10 more requests of the chat are not sent to the draining engine

  Scenario: A team has its own deadline for one model
    # Settings at /group/team/model would have no effect on a stalled runner if limits
    # were applied by team alone, before the request's model is known.
    Given a node with simulated runners
    When the engines stall for 1000 ms
    Then the team with a deadline of 300 ms for the model receives the outcome unknown
    And a chat still receives a complete response

  Scenario: A long response to a call with an idempotency key
    # The outcome of a completed call would be "unknown" if a single read took the first
    # part of a response that a plain service sends in two parts for all of it.
    Given a node with simulated runners
    When the service pads its responses to 300000 bytes and a call with a key is sent
    Then the complete padded response arrives
    And the call was executed once

  Scenario: A path with encoded characters
    # A call for one locker would reach another path, or gain a query, if a path with an
    # encoded slash or question mark were decoded and encoded again.
    Given a node with simulated runners
    When a plain call is sent to "lockers/a%2Fb%3Fc%20d?x=%26y"
    Then the service received the path "/lockers/a%2Fb%3Fc%20d?x=%26y"

  Scenario: A request ends with an exception that nobody expected
    # The caller got 500, and only a traceback on standard error, without the request's
    # id, told of it.
    Given a node with simulated runners
    When the search for an engine raises an exception during a chat
    Then the caller gets 500, and the node logs and counts the chat as failed

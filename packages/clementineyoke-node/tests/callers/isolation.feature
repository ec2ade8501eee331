Feature: Each caller gets its own whole answer, or is told the truth

  Scenario: A runner breaks after it executed a PUT
    # Symptom: one score counted twice.
    # Sequence: the runner executes, the connection breaks before the answer's head.
    # Cause: the HTTP client sends PUT again on its own.
    Given a node with stand-ins
    When the service breaks the connection of a non-idempotent PUT after executing it
    Then the call was executed once
    And the caller is told unknown

  Scenario: A chat's runner breaks and there is no other
    # Symptom: "not run" of a chat that a runner had begun.
    # Sequence: the runner executes and breaks; the retry finds no runner.
    # Cause: the retry's own fate was told as the request's.
    Given a node with stand-ins and 1 engine
    When every engine breaks each connection after executing
    And a chat is sent
    Then the caller is told unknown

  Scenario: A runner answers with another request's id
    # Symptom: one caller reads another's text.
    # Sequence: a runner mixes up two answers.
    # Cause: only the echoed id tells whose answer it is.
    Given a node with stand-ins
    When the engine of a chat crosses its next answer
    And the chat comes back
    Then the caller gets its own whole answer
    And the crossed answer was asked for again elsewhere

  Scenario: A stream that ends in order but too early
    # Symptom: half a ruling is taken for the whole.
    # Sequence: the runner ends the chunked body without the stream's end mark.
    # Cause: the body's framing says nothing about the stream's completeness.
    Given a node with stand-ins
    When the engines leave out the end mark
    And a chat is sent whose answer breaks off
    Then the caller sees the break

  Scenario: A stream that breaks in the middle
    Given a node with stand-ins
    When the engines break streams in the middle
    And a chat is sent whose answer breaks off
    Then the caller sees the break

  Scenario: A runner that nothing listens behind
    Given a node with stand-ins and 1 engine
    When a dead engine is listed beside it
    Then 20 chats are answered whole
    And the dead engine is quarantined

  Scenario: A caller that goes away ends its runner's work
    Given a node with stand-ins and 1 engine
    When a caller closes its stream after the first token
    Then the engine counts a cancelled chat
    And no slot is held

  Scenario: A keyed call is repeated
    Given a node with stand-ins
    When a keyed call is sent 3 times at once and once more
    Then the call was executed once
    And the last caller gets the kept answer
    And the same key with another body is refused

  Scenario: The platform is away
    Given a node with stand-ins
    When the platform is away and a keyed call is sent
    Then the caller is told not_run with a time to retry
    And the call was never executed
    And a chat is still answered whole

  Scenario Outline: Bad input gets a clear error and harms nobody
    Given a node with stand-ins
    When a caller sends <input>
    Then it is refused with status <status> at step <step>
    And a chat is still answered whole

    Examples:
      | input             | status | step         |
      | malformed JSON    | 400    | parse_chat   |
      | an oversized body | 413    | read_body    |
      | a bad deadline    | 400    | read_headers |
      | an unknown team   | 401    | authenticate |
      | a wrong key       | 401    | authenticate |
      | no key            | 401    | authenticate |
      | another model     | 403    | authorize    |

  Scenario: More requests than the runners have slots
    # Symptom: half of a burst is refused though slots come free within a moment.
    # Sequence: 24 chats come at once before one engine of 16 slots.
    # Cause: a request without a slot was refused at once instead of waiting its time.
    Given a node with stand-ins and 1 engine
    When 24 chats are sent at once
    Then all 24 are answered whole
    And the engine never ran more than 16 at once
    And no slot is held

  Scenario: A runner says that it leaves before the list does
    # Symptom: refused chats until the host list catches up, seconds later.
    # Sequence: an engine begins to drain; the list still shows it live.
    # Cause: only the list was asked; the runner's own answer is the first to know.
    Given a node with stand-ins
    When the engine of a chat begins to drain
    And the chat comes back
    Then the caller gets its own whole answer
    And 10 more turns ask the draining engine no more

  Scenario: A team has its own deadline at one model
    # Symptom: settings at /group/team/model are accepted and do nothing.
    # Sequence: a deadline is set there; a runner stalls.
    # Cause: a request was bounded before its model was known, by its team alone.
    Given a node with stand-ins
    When the engines stall for 1000 ms
    Then the team with a deadline of 300 ms at the model is told unknown
    And a chat is still answered whole

  Scenario: A long answer to a keyed call
    # Symptom: callers are told "unknown" of calls that ran and were answered.
    # Sequence: a plain service sends its answer in two parts.
    # Cause: one read of the answer took what had arrived for the whole.
    Given a node with stand-ins
    When the service pads its answers to 300000 bytes and a keyed call is sent
    Then the whole padded answer arrives
    And the call was executed once

  Scenario: A path with encoded characters
    # Symptom: a call for one locker reaches another path, or gains a query.
    # Sequence: a caller's path holds an encoded slash or question mark.
    # Cause: the path was decoded on the way and encoded anew.
    Given a node with stand-ins
    When a plain call is sent to "lockers/a%2Fb%3Fc%20d?x=%26y"
    Then the service was asked for "/lockers/a%2Fb%3Fc%20d?x=%26y"

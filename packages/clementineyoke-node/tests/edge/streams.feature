Feature: Event streams forwarded by a node

  Scenario: A resumable stream breaks within an event
    # The runner dies in the middle of an event. Passing bytes on as they arrive, or
    # starting the second runner from the beginning, tears, loses or repeats an event.
    Given a fleet of 1 node and 2 runners
    And the runners stream
    And the next call is answered as "cut"
    When a caller makes a "streaming" call
    Then the caller gets the events 1 to 6, each once and whole
    And the runners received 2 calls
    And the second runner received the id of the last event that the caller has
    And 1 streams are counted as resumed

  Scenario: A stream comes whole from its first runner
    # It was counted as a resumed stream of an unknown version.
    Given a fleet of 1 node and 2 runners
    And the runners stream
    When a caller makes a "streaming" call
    Then the caller gets the events 1 to 6, each once and whole
    And 0 streams are counted as resumed

  Scenario: A runner accepts a stream and sends nothing
    Given a fleet of 1 node and 2 runners
    And the runners stream
    And the next call is answered as "hang"
    When a caller makes a "streaming" call
    Then the caller gets the events 1 to 6, each once and whole

  Scenario: A stream that is not resumable breaks
    # The runner dies half way. If the end of its connection counts as the end of the
    # stream, the caller takes half a summary for the complete one.
    Given a fleet of 1 node and 2 runners
    And streams are not resumable
    And the runners stream
    And the next call is answered as "cut"
    When a caller makes a "streaming" call that breaks
    Then the caller sees that the response is incomplete
    And the runners received 1 call

  Scenario: A broken stream is explained as cut, with the digest of its request
    # A log of what was sent, not of how it ended, says "answered" with 200 for a stream
    # that broke. As each attempt of a caller has a new id, only a digest of the request
    # shows that two broken calls asked for the same.
    Given a fleet of 1 node and 2 runners
    And streams are not resumable
    And the runners stream
    And the next 2 calls are answered as "cut"
    When the same "streaming" request is sent as "first" and as "second"
    Then both are explained as cut and not as answered, with the same digest
    And 2 cuts are counted under "runners_used"

  Scenario Outline: A broken stream is resumed at a runner that fails in the type of a stream
    # Relayed by its content type, the error is appended, and a part of the stream ends as whole.
    Given a fleet of 1 node and 3 runners
    And the runners stream
    And the next calls are answered as "cut, <failure>, <failure>"
    When a caller makes a "streaming" call that breaks
    Then the caller sees that the response is incomplete

    Examples:
      | failure        |
      | fail as stream |
      | busy as stream |

  Scenario Outline: A runner fails a stream in the type of a stream
    # A 503 that is handed on tells the caller "not run" of a call that has run.
    Given a fleet of 1 node and 2 runners
    And streams are not resumable
    And the runners stream
    And the next calls are answered as "<failure>"
    When a caller makes a "streaming" call
    Then the caller gets <status>
    And the runners received 1 call

    Examples:
      | failure        | status |
      | fail as stream | 500    |
      | busy as stream | 502    |

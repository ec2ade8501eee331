Feature: Event streams through a node on the platform

  Scenario: A stream that may be resumed breaks within an event
    # Symptom: a stream has a torn event, a gap or an event twice.
    # Sequence: its runner dies in the middle of an event.
    # Cause: bytes were handed on as they came, and the second run began anew.
    Given a fleet of 1 node and 2 runners
    And the runners stream
    And the next call is answered as "cut"
    When a caller makes a "streaming" call
    Then the caller gets the events 1 to 6, each once and whole
    And the runners saw 2 calls
    And the second runner was told the last event that the caller has

  Scenario: A runner takes a stream and says nothing
    Given a fleet of 1 node and 2 runners
    And the runners stream
    And the next call is answered as "hang"
    When a caller makes a "streaming" call
    Then the caller gets the events 1 to 6, each once and whole

  Scenario: A stream that may not be resumed breaks
    # Symptom: a caller takes half a summary for the whole.
    # Sequence: the runner dies half way; the node ends its answer in order.
    # Cause: the end of the runner's connection was taken for the stream's end.
    Given a fleet of 1 node and 2 runners
    And streams may not be resumed
    And the runners stream
    And the next call is answered as "cut"
    When a caller makes a "streaming" call that breaks
    Then the caller sees that the answer is not complete
    And the runners saw 1 call

  Scenario: A stream that breaks is explained as cut, with the mark of what was asked for
    # Symptom: the log says "answered" with 200 for a stream that the caller saw break,
    #   and nothing tells whether two calls that broke asked for the same.
    # Sequence: a runner dies in the middle of a stream that may not be resumed; the
    #   caller sends the same request again.
    # Cause: what was sent was logged, not how it ended; calls were known by ids only,
    #   and each try of a caller has a new one.
    Given a fleet of 1 node and 2 runners
    And streams may not be resumed
    And the runners stream
    And the next 2 calls are answered as "cut"
    When the same "streaming" request comes as "first" and as "second"
    Then both are explained as cut and not as answered, with the same mark

Feature: Refused bytes are freed

  Scenario: A body is refused as too long, and its error is kept
    # The error's traceback keeps bytes that the node no longer counts, beyond its bounds.
    Then no part of a refused body is kept with its error

  Scenario: A stream is refused, and its caller waits for another runner
    # What the refused runner has sent stays with the caller's stream, beyond the node's bounds.
    Then no part of an event is kept after its stream was refused

  Scenario: Runners, peers and the store use up their bounds at once
    # The default bounds add up to more than a node may grow by.
    Then by default all bounds together are below 32 MB

  Scenario: A runner sends bytes after its answer and ends the connection
    # The log could not tell which runner sent them, or named the next one at the address.
    Then refused bytes are logged with the lifetime and address of their runner

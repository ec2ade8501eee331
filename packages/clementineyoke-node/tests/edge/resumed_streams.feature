Feature: Streams that another runner goes on with

  Scenario Outline: A runner goes on with a stream in a way that does not fit
    # A stream that ends as complete although another runner's bytes are not its rest.
    Given a fleet of 1 node and 2 runners
    And a stream breaks after 3 events, and goes on as "<rest>"
    When a caller makes a "streaming" call that breaks
    Then the caller sees that the response is incomplete

    Examples:
      | rest                           |
      | an empty response              |
      | part of a document             |
      | a stream accepted for later    |
      | events with a content coding   |
      | a document                     |
      | a stream that leaves out one   |
      | a stream that ends before      |
      | a stream that ends in an event |
      | an event from further on       |
      | events without numbers         |
      | the whole stream, unnumbered   |
      | a later part, not framed       |

  Scenario Outline: A runner goes on with a stream in another form
    # A stream that is cut, or a piece that comes twice, although the rest arrives.
    Given a fleet of 1 node and 2 runners
    And a stream breaks after 3 events, and goes on as "<rest>"
    When a caller makes a "streaming" call
    Then the caller gets 6 events, each once

    Examples:
      | rest                            |
      | the events that are missing     |
      | the whole stream from event 1   |
      | a stream with lines of its own  |
      | a stream with comments          |
      | lines that end with CR LF       |
      | a last event without its number |
      | chunks of one byte              |
      | CR LF in chunks of one byte     |
      | comments between all events     |
      | numbers that go back            |
      | each event twice                |
      | from event 2, each event twice  |
      | the missing events, not framed  |

  Scenario Outline: The first runner of a stream breaks off in various ways
    # A torn, repeated or missing piece, or an end that is none.
    Given a fleet of 1 node and 2 runners
    And a stream breaks off as "<break>", and goes on as "<rest>"
    When a caller makes a "streaming" call
    Then the caller gets 6 events, each once
    And the runners received 2 calls

    Examples:
      | break                                | rest                          |
      | a reset within an event              | the events that are missing   |
      | a reset before the last chunk        | nothing                       |
      | a reset before the last chunk        | the whole stream from event 1 |
      | a reset between events               | the events that are missing   |
      | an end between events                | the events that are missing   |
      | an end within an event               | the events that are missing   |
      | an end within an event, not framed   | the events that are missing   |
      | an end within a line end, not framed | the events that are missing   |
      | a reset between events, not framed   | the events that are missing   |
      | an end within a chunk                | the events that are missing   |
      | fewer bytes than announced           | the events that are missing   |
      | bytes that are no chunk              | the events that are missing   |

  Scenario Outline: A stream of a route that is not resumable
    # Pieces of two runs are joined, or the call runs twice.
    Given a fleet of 1 node and 2 runners
    And streams are not resumable, and a call may be sent to 3 runners
    And a stream breaks off as "<break>", and goes on as "the whole stream from event 1"
    When a caller makes a "streaming" call that breaks
    Then the caller sees that the response is incomplete
    And the runners received 1 call

    Examples:
      | break                              |
      | a reset within an event            |
      | a reset before the last chunk      |
      | an end within an event, not framed |
      | a silence after the first events   |

  Scenario Outline: A stream of events without numbers breaks off
    # Pieces come twice: no runner can be told after which one it is to go on.
    Given a fleet of 1 node and 2 runners
    And a stream breaks off as "<break>", and goes on as "the whole stream, unnumbered"
    When a caller makes a "streaming" call that breaks
    Then the caller sees that the response is incomplete

    Examples:
      | break                             |
      | a reset after unnumbered events   |
      | a silence after unnumbered events |

  Scenario Outline: A call that is no stream gets events
    # It may run again, but another run need not go on where the first one broke off.
    Given a fleet of 1 node and 2 runners
    And a stream breaks off as "<break>", and goes on as "another run"
    When a caller makes an "idempotent" call
    Then no pieces of two runs are joined

    Examples:
      | break                            |
      | a reset within an event          |
      | an end between events            |
      | a silence after the first events |

  Scenario Outline: A caller takes a stream up after event 3
    # A piece comes twice, or the stream ends as complete although the runner stopped before.
    Given a fleet of 1 node and 2 runners
    And the runners go on with a stream as "<rest>"
    When a caller takes a stream up after event 3
    Then the caller gets <result>

    Examples:
      | rest                           | result                    |
      | the events that are missing    | the events from 4 on      |
      | the missing events, not framed | the events from 4 on      |
      | the whole stream from event 1  | the events from 4 on      |
      | a stream with lines of its own | the events from 4 on      |
      | numbers that go back           | the events from 4 on      |
      | each event twice               | the events from 4 on      |
      | CR LF in chunks of one byte    | the events from 4 on      |
      | a stream that ends before      | no end of the stream      |
      | a stream that ends in an event | no end of the stream      |
      | the whole stream, unnumbered   | no end of the stream      |

  Scenario Outline: A runner leaves out events where a pool's streams go by ones
    # A stream that has not shown its steps ends as complete with a missing event.
    Given a fleet of 1 node and 3 runners
    And a stream may be sent to 3 runners
    And 12 streams of several runners had the events "1 2 3 4"
    And the runners that get the next stream send "<parts>"
    When a caller makes a "streaming" call
    Then the caller gets the events "<events>"

    Examples:
      | parts                     | events  |
      | 1 break, 3 4, 2 3 4       | 1 2 3 4 |
      | 1 break, 1 3 4, 1 2 3 4   | 1 2 3 4 |
      | 1 2 4, 1 2 3 4            | 1 2 3 4 |
      | 1 2 9 3 4, 1 2 3 4        | 1 2 3 4 |
      | 1 2 1 2 break, 4, 1 2 3 4 | 1 2 3 4 |

  Scenario: A runner leaves out events of a caller's resumption where streams go by ones
    # As above, where the caller has the events that show the steps.
    Given a fleet of 1 node and 3 runners
    And 12 streams of several runners had the events "1 2 3 4"
    And the runners that get the next stream send "5 6, 4 5 6"
    When a caller takes a stream up after event 3
    Then the caller gets the events "4 5 6"

  Scenario Outline: Streams whose ids do not go by ones
    # They are taken for streams with missing events, and cut.
    Given a fleet of 1 node and 3 runners
    And a stream may be sent to 2 runners
    And 12 streams of several runners had the events "<before>"
    And the runners that get the next stream send "<parts>"
    When a caller makes a "streaming" call
    Then the caller gets the events "<events>"

    Examples:
      | before  | parts        | events  |
      | 1 3 4 5 | 1 break, 4 5 | 1 4 5   |
      | 1 3 4 5 | 1 2 9        | 1 2 9   |
      | 1 2 3 4 | 1 2 4 6     | 1 2 4 6 |
      | 1 2     | 1 break, 3 4 | 1 3 4   |

  Scenario: A caller keeps its connection after a stream that broke
    # The bytes of the next response follow those of half a stream.
    Given a fleet of 1 node and 2 runners
    And streams are not resumable, and a call may be sent to 3 runners
    And a stream breaks off as "a reset within an event", and goes on as "a document"
    When two requests come on one connection, the first of which breaks
    Then nothing follows the first events of the stream

  Scenario: A peer goes on with a stream in a way that does not fit
    # The bytes of a peer are another runner's, and are checked like them.
    Then a stream that comes from a peer is refused as one that comes from a runner

  Scenario: Reading fails after it got events
    # The search for another runner ends between the two; what it raises takes the events along.
    Then events whose reading fails are expected of the next runner

  Scenario: Whole events come together with one that is too long
    # They count as sent and are not written, so that the next runner leaves them out.
    Then events that come with the beginning of one that is too long reach the caller

  Scenario: A long event of a stream that then pauses
    # What counts as held although it has been sent is missing for the answers of others.
    Then what is held of an event is released when it is whole

  Scenario: A stream of events whose numbers have thousands of digits
    # An id that Python refuses to parse ends the call with an unexpected error.
    Given a fleet of 1 node and 2 runners
    And the runners stream events with numbers of 5000 digits
    When a caller makes a "streaming" call
    Then the caller gets the runner's body

  Scenario: A stream with a content coding
    # Its bytes cannot be split into events; cut and resumed, two codings would be joined.
    Given a fleet of 1 node and 2 runners
    And the runners stream events with a content coding
    When a caller makes a "streaming" call
    Then the caller gets the runner's body

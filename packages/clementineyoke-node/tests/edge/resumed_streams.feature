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

  Scenario: A peer goes on with a stream in a way that does not fit
    # The bytes of a peer are another runner's, and are checked like them.
    Then a stream that comes from a peer is refused as one that comes from a runner

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

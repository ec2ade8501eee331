Feature: Only complete events are forwarded

  Scenario: A runner fails in the middle of an event
    # A runner is killed after half an event and another one continues the stream. If bytes
    # were forwarded as they arrive, the resumed stream would have a garbled event.
    Given an event splitter
    When it is fed "id: 1\ndata: a\n\nid: 2\nda"
    Then it has returned the events 1
    And it holds a partial event
    When it is fed "ta: b\n\nid: 3\ndata: c\n\n"
    Then it has returned the events 1, 2, 3
    And it holds no partial event

  Scenario: The chunks' boundaries do not change the events
    Then 200 random splits of a stream of 12 events return them complete and in order

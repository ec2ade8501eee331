Feature: Whole events only

  Scenario: A runner stops in the middle of an event
    # Symptom: a resumed stream holds a torn event.
    # Sequence: a runner is killed after half an event, another one goes on.
    # Cause: bytes were handed on as they came.
    Given an event splitter
    When it is fed "id: 1\ndata: a\n\nid: 2\nda"
    Then it gave the events 1
    And it holds a part
    When it is fed "ta: b\n\nid: 3\ndata: c\n\n"
    Then it gave the events 1, 2, 3
    And it holds no part

  Scenario: Any cutting of the bytes gives the same events
    Then 200 random cuts of a stream of 12 events give them whole and in order

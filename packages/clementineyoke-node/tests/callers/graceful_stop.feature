Feature: A planned stop cuts no request

  Scenario: A stream is in flight when the node is told to stop
    # Symptom: an answer ends in the middle at every roll-out.
    # Sequence: the node gets its signal while a long stream runs.
    # Cause: closing the listener and the connections together.
    Given a node with stand-ins
    When a stream of 100 tokens begins and the node is told to stop
    Then the stream is answered whole
    And a caller with an old address was answered during the linger
    And afterwards the node refuses connections

  Scenario: A planned stop during an outage of the platform
    # Symptom: a node takes two minutes to stop though nothing is in flight.
    # Sequence: a claim's report waits for the platform; the node is told to stop.
    # Cause: the stop waited for reports as long as for requests.
    Given a node with stand-ins
    When the platform is away and a keyed call is sent
    And the node is told to stop
    Then no more than 10 of its 120 seconds have passed

  Scenario: An operator's call without the key
    Given a node with stand-ins
    Then every operator call without the key is refused

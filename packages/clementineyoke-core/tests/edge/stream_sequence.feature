Feature: The order of a stream's events across its runners

  Scenario: A run whose events were not written has steps of its own
    # Its steps counted as the stream's, and a gap of the next run was not told.
    Given a stream whose events 1 and 2 were written
    When a run's events 3 and 90 are read and not written
    Then a run that goes on at event 4 is refused, and one at event 3 is not

  Scenario: Only written events move the position of a stream
    # Events that a node has read and left count as the caller's, and no runner sends them again.
    Given a stream whose events 1 and 2 were written
    When a run's events 3 and 4 are read and not written
    Then the last event that the caller has is 2

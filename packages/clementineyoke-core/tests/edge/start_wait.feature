Feature: Calls that come before a node's first state

  Scenario: The state comes a moment after the first calls
    # Symptom: after a restart of all nodes callers are late by one to three seconds.
    # Sequence: calls come in the first 20 ms of a node; the state is there after them.
    # Cause: they were told to come back instead of waiting for it.
    Given a node that started at 1000 ms
    Then a call at 1005 ms may wait 250 ms for the state
    And a call at 1400 ms may wait 100 ms for the state

  Scenario: The state does not come
    # Pattern: a fleet that starts while the store is away and no peer has a state.
    Given a node that started at 1000 ms
    Then a call at 1500 ms may wait 0 ms for the state
    And a call at 60000 ms may wait 0 ms for the state

  Scenario: More calls come than may wait
    # Pattern: hundreds of callers that were refused come back within one moment.
    Given a node that started at 1000 ms
    When 256 calls wait at 1010 ms
    Then a call at 1010 ms may wait 0 ms for the state
    When one of them waits no longer
    Then a call at 1010 ms may wait 250 ms for the state

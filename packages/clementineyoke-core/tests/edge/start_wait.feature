Feature: Calls that arrive before a node's first desired state

  Scenario: The state arrives a moment after the first calls
    # Calls arrive in a node's first 20 ms, just before its state. If they were refused with
    # a Retry-After instead of waiting, callers would be late by one to three seconds after
    # a restart of all nodes.
    Given a node that started at 1000 ms
    Then a call at 1005 ms may wait 250 ms for the state
    And a call at 1400 ms may wait 100 ms for the state

  Scenario: The state does not arrive
    # A fleet starts while the store is unreachable and no peer has a state.
    Given a node that started at 1000 ms
    Then a call at 1500 ms may wait 0 ms for the state
    And a call at 60000 ms may wait 0 ms for the state

  Scenario: More calls arrive than may wait
    # Hundreds of callers that were refused retry within one moment.
    Given a node that started at 1000 ms
    When 256 calls wait at 1010 ms
    Then a call at 1010 ms may wait 0 ms for the state
    When one of them stops waiting
    Then a call at 1010 ms may wait 250 ms for the state

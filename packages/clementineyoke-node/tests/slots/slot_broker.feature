Feature: Asking for a slot

  Scenario: A caller goes away while its slot is asked for
    # Symptom: slots of runners stay taken for 15 s after a burst of cancelled requests.
    # Sequence: the ask is on its way, the caller goes, the home grants to nobody.
    # Cause: only a time-out gave the slot back, not the end of the asking itself.
    Given a broker whose runner's home is another node
    When the caller goes away while the home is asked
    Then the slot that may have been granted is given back

  Scenario: The home does not answer
    Given a broker whose runner's home is another node
    When the home leaves the ask unanswered
    Then the slot that may have been granted is given back
    And the request falls back on the runner without its home

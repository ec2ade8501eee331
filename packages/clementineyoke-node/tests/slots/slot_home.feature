Feature: The home of a runner

  Scenario: An asker has not heard that a runner leaves
    # Symptom: new work on a leaving runner, seconds after it was listed as leaving.
    # Sequence: a node is frozen while the runner leaves; it wakes and asks for a slot.
    # Cause: the home counted slots and did not look at what it knows of the runner.
    Given a home whose list shows a runner leaving
    When another node asks for a slot on it
    Then the ask is refused

  Scenario: A waiting ask is served when a slot comes free
    Given a home whose runner has its 1 slot in use
    When another node waits for a slot on it
    Then it is granted once the slot is released, and only then

  Scenario: An asker that gives up is not served
    Given a home whose runner has its 1 slot in use
    When another node waits for a slot on it and gives up
    Then the released slot stays free

Feature: The home of a runner

  Scenario: An asker has not heard that a runner leaves
    # Symptom: new work on a leaving runner, seconds after it was listed as leaving.
    # Sequence: a node is frozen while the runner leaves; it wakes and asks for a slot.
    # Cause: the home counted slots and did not look at what it knows of the runner.
    Given a home whose list shows a runner leaving
    When another node asks for a slot on it
    Then the ask is refused

  Scenario: A node restarts while its old grants stand
    # Symptom: a runner holds more than its home has counted.
    # Sequence: a node that asked 13 times a second dies and is started again after
    #   1,000 seconds; its new asks bear numbers that its old ones had.
    # Cause: numbers began at the start's second and ran ahead of the clock.
    Given a home with 4 slots free and a node that has asked 13000 times
    When the node starts again after 1000 seconds and asks 4 times
    Then the last grants of the old process and the 4 new ones are all counted

  Scenario: A waiting ask is served when a slot comes free
    Given a home whose runner has its 1 slot in use
    When another node waits for a slot on it
    Then it is granted once the slot is released, and only then

  Scenario: An asker that gives up is not served
    Given a home whose runner has its 1 slot in use
    When another node waits for a slot on it and gives up
    Then the released slot stays free

  Scenario: Nodes report failures of a runner
    # Symptom: a grey runner goes on getting its chats.
    # Sequence: three nodes each meet one failure there.
    # Cause: no one place heard of all of them.
    Given a home whose runner has its 1 slot free
    When 3 nodes report a failure of it
    Then an ask for it is refused as paused
    But the last ask of a search is granted

  Scenario: Nodes cannot reach a runner
    # Symptom: a dark runner goes on getting calls until each node has met it.
    # Sequence: two nodes each wait in vain for a connection to it.
    # Cause: only failures of calls that had begun were told to its home.
    Given a home whose runner has its 1 slot free
    When 2 nodes report that they cannot reach it
    Then an ask for it is refused as paused

  Scenario: A runner that took no connections is back before its entry says so
    # Symptom: a runner ends a second after each start.
    # Sequence: it ends and starts anew under its id while the store is away; its calls
    #   come back to it as soon as one node reaches it.
    # Cause: it counted as warm until its entry said otherwise.
    Given a home whose runner has 8 slots and bears 4 calls a second while it is cold
    When 2 nodes report that they cannot reach it
    And 1.1 s later 6 nodes ask for it, each when the one before is answered
    Then 1 of them gets a slot

  Scenario: A runner answers between two reports
    Given a home whose runner has its 1 slot free
    When a node reports that it cannot reach it, another is answered, and a third reports
    Then an ask for it is granted

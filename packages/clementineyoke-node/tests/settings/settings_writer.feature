Feature: Committing a change of settings

  Scenario: Two operators race
    # Symptom: one operator's change disappears.
    # Sequence: both look at version 1; both commit.
    # Cause: the second must be told of the first instead of overwriting it.
    Given settings at version 1
    When two operators commit changes based on version 1 at once
    Then one is accepted and the other is shown the conflict
    And the accepted one is in force

  Scenario: The reply of the commit is lost
    # Symptom: an operator is told of a failure and finds the change in force.
    # Sequence: the create takes effect, its reply is lost.
    # Cause: only reading back, and knowing one's own nonce, tells.
    Given settings at version 1
    When the reply of a commit is lost
    Then the change is reported as accepted

  Scenario: A change with a fault changes nothing
    Given settings at version 1
    When a change with one good and one bad path is committed
    Then it is refused as a whole with the path of the fault

  Scenario: A dry run changes nothing
    Given settings at version 1
    When a change is only compared
    Then the difference is shown and version 1 stays in force

  Scenario: A new node after many changes
    # Symptom: a node's start takes longer each day.
    # Sequence: 12,000 changes a day; a new node reads each of them from the first.
    # Cause: the log alone was kept, and nothing that sums it up.
    Given settings at version 1
    When 250 more changes are committed and a snapshot is written
    And 3 more changes are committed
    Then a new node has version 254 after 4 calls to the platform

  Scenario: A new node while the platform is away
    # Symptom: replaced hosts serve nobody during an outage.
    # Sequence: the platform is away, a node starts, its peers know the settings.
    # Cause: only the platform was asked; a peer's whole tree is as good.
    Given settings at version 1
    When 600 more changes are committed and the platform goes away
    Then a new node that hears of a peer has version 601 and the same tree

  Scenario: An old snapshot
    Given settings at version 1
    When 250 more changes are committed and a snapshot is written
    And 3 more changes are committed
    Then restoring the snapshot leaves version 254 in force

Feature: Committing a change of settings

  Scenario: Two operators commit concurrently
    # Both operators look at version 1 and commit; without a conflict error for the second
    # one, its commit would overwrite the first change.
    Given settings at version 1
    When two operators commit changes based on version 1 at once
    Then one is accepted and the other gets a conflict error
    And the accepted one is in force

  Scenario: The reply to the commit is lost
    # The create takes effect but its reply is lost; unless the stored change is read back
    # and recognised by its nonce, a change in force is reported as failed.
    Given settings at version 1
    When the reply to a commit is lost
    Then the change is reported as accepted

  Scenario: An invalid change is rejected completely
    Given settings at version 1
    When a change with one valid and one invalid path is committed
    Then it is rejected completely with the invalid path

  Scenario: A dry run changes nothing
    Given settings at version 1
    When a change is only compared
    Then the difference is shown and version 1 stays in force

  Scenario: A new node starts after many changes
    # Without snapshots a new node reads every change from the first, at 12,000 changes a
    # day, so that start-up takes longer each day.
    Given settings at version 1
    When 250 more changes are committed and a snapshot is written
    And 3 more changes are committed
    Then a new node has version 254 after 4 calls to the platform

  Scenario: A new node starts while the platform is unavailable
    # A replacement host that reads settings from the platform only cannot serve during an
    # outage, although its peers have the full settings.
    Given settings at version 1
    When 600 more changes are committed and the platform becomes unavailable
    Then a new node that learns of a peer has version 601 and the same tree

  Scenario: An outdated snapshot is ignored
    Given settings at version 1
    When 250 more changes are committed and a snapshot is written
    And 3 more changes are committed
    Then restoring the snapshot leaves version 254 in force

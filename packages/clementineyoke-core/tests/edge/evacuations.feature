Feature: Zones that the operator has evacuated

  Scenario: A late report of an older view
    # A zone is evacuated and returned; a peer that was cut off then reports the evacuation.
    # If the last report won, the returned zone would get nothing from this node.
    Given the evacuation orders at revision 10 are "east"
    When the orders at revision 20 are reported as ""
    And the orders at revision 10 are reported as "east"
    Then no zone is evacuated

  Scenario: A zone is evacuated, returned and evacuated again
    Given the evacuation orders at revision 10 are "east"
    When the orders at revision 20 are reported as ""
    And the orders at revision 30 are reported as "east"
    And the orders at revision 20 are reported as ""
    Then the zones "east" are evacuated

  Scenario: A late report after a long time without changes
    # A watcher sees no order at revisions 10 and 40; a peer reports an order of revision 30
    # that was withdrawn at 35. If a view without a change did not count as newer, the zone
    # would be evacuated again.
    Given the evacuation orders at revision 10 are ""
    When the orders at revision 40 are reported as ""
    And the orders at revision 30 are reported as "east"
    Then no zone is evacuated
    And the version for peers is still revision 10

  Scenario: A watch ends at an older revision than a peer's report
    # A watch from revision 10 is pending; a peer reports two orders as of 30; the watch ends
    # with the first of them, as of 20. If its events were applied to the newer view, the
    # other zone's order would be lost.
    Given the evacuation orders at revision 10 are ""
    When the orders at revision 30 are reported as "east, west"
    And a watch shows "east" evacuated up to revision 20
    Then the zones "east, west" are evacuated

  Scenario: A watch shows one zone evacuated and another returned
    Given the evacuation orders at revision 10 are "east"
    When a watch shows "west" evacuated and "east" returned up to revision 20
    Then the zones "west" are evacuated
    And "west" is newly evacuated and "east" has returned

  Scenario: An empty list of orders is a known state
    Given no orders have been reported
    When the orders at revision 5 are reported as ""
    Then the orders are known

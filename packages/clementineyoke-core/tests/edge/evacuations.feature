Feature: Zones that the operator has emptied

  Scenario: An older word comes late
    # Symptom: a zone that serves again gets nothing from one node.
    # Sequence: a zone is emptied and taken back; a peer that was cut off tells of the
    #   order after the node has heard of its end.
    # Cause: whatever was told last was believed.
    Given the orders as of revision 10 with "east"
    When the orders as of revision 20 with "" are told
    And the orders as of revision 10 with "east" are told
    Then no zone is emptied

  Scenario: A zone is emptied, taken back and emptied again
    Given the orders as of revision 10 with "east"
    When the orders as of revision 20 with "" are told
    And the orders as of revision 30 with "east" are told
    And the orders as of revision 20 with "" are told
    Then the zones "east" are emptied

  Scenario: Nothing has changed for a while, and then an old word comes
    # Symptom: a zone is emptied again by a word from before.
    # Sequence: a watcher sees no order at revision 10 and none at 40; a peer tells an
    #   order of revision 30, which had been taken back at 35.
    # Cause: an answer without a change did not count as newer knowledge.
    Given the orders as of revision 10 with ""
    When the orders as of revision 40 with "" are told
    And the orders as of revision 30 with "east" are told
    Then no zone is emptied
    And what peers compare is still revision 10

  Scenario: A watch ends behind what a peer has told
    # Symptom: an order of another zone is forgotten.
    # Sequence: a watch from revision 10 on waits; a peer tells of two orders as of 30;
    #   the watch ends with the first of them, as of 20.
    # Cause: events were applied to a view that was newer than all of them.
    Given the orders as of revision 10 with ""
    When the orders as of revision 30 with "east, west" are told
    And a watch shows "east" emptied up to revision 20
    Then the zones "east, west" are emptied

  Scenario: A watch shows one zone given and another taken back
    Given the orders as of revision 10 with "east"
    When a watch shows "west" emptied and "east" returned up to revision 20
    Then the zones "west" are emptied
    And "west" is new and "east" has returned

  Scenario: No order is an answer
    Given nothing has been told
    When the orders as of revision 5 with "" are told
    Then the orders are known

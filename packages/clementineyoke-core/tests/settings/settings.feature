Feature: Settings in force

  Scenario: Changes arrive in any order, twice or with gaps
    # Symptom: a team sees yesterday's limit come back.
    # Sequence: a slow peer offers version 3 after version 5 was in force.
    # Cause: a node that applies whatever it is offered last.
    Given 6 accepted changes of one team's rate
    Then in whatever order they are offered the version never falls
    And equal versions mean equal trees

  Scenario: A child inherits unless it says otherwise
    Given a tree with a rate of 40 at the root and 90 at /league/finals
    Then /league/finals has rate 90 from /league/finals
    And /league/other has rate 40 from /
    And /league/other/rulings has priority 5 from default
    When the root's rate changes to 50
    Then /league/other has rate 50 from /
    And /league/finals has rate 90 from /league/finals

  Scenario: Every fault is named, with its path
    When a document with 5 faults is checked
    Then each fault is named with its path and reason

  Scenario: No document makes the check fail
    Then any JSON value is either valid or refused with reasons

  Scenario: A peer that asks for changes long gone is told so
    Given 6 accepted changes of one team's rate
    Then a log of all of them gives the last 2 to a peer at 4
    And it gives none to a peer whose next change it does not keep

Feature: Current settings

  Scenario: Changes arrive in any order, twice or with gaps
    # A slow peer delivers version 3 after version 5 was applied: a node that applies whatever
    # arrives last gives a team an outdated limit again.
    Given 6 accepted changes of one team's rate
    Then in whatever order they arrive the version never decreases
    And equal versions have equal trees

  Scenario: A child inherits the fields that it does not set
    Given a tree with a rate of 40 at the root and 90 at /league/finals
    Then /league/finals has rate 90 from /league/finals
    And /league/other has rate 40 from /
    And /league/other/rulings has priority 5 from default
    When the root's rate changes to 50
    Then /league/other has rate 50 from /
    And /league/finals has rate 90 from /league/finals

  Scenario: Every violation is reported with its path
    When a document with 5 violations is checked
    Then each violation is reported with its path and reason

  Scenario: Validation handles every document
    Then any JSON value is either valid or rejected with reasons

  Scenario: A peer requests changes that are no longer kept
    Given 6 accepted changes of one team's rate
    Then a log of all of them returns the last 2 for a peer at version 4
    And it returns none for a peer whose next change is no longer kept

Feature: Consistent-hash ring

  Scenario: Keys of other members stay when one leaves
    Given a ring of 40 members
    When one member leaves
    Then only keys that it owned have a new owner
    And each order still names every member once

  Scenario: Load spreads over members
    Given a ring of 40 members
    Then no member owns more than twice its share of 20000 keys

Feature: Consistent-hash ring

  Scenario: Keys of other members stay when one leaves
    Given a ring of 40 members
    When one member leaves
    Then only keys that it owned have a new owner
    And each order still has every member once

  Scenario: Keys are spread over the members
    Given a ring of 40 members
    Then no member owns more than twice its share of 20000 keys

  Scenario: A ring that is updated step by step
    # One node has applied joins and leaves one by one, another has just started: if the ring
    # depended on their order, the two nodes would send one chat to two runners.
    Given a ring of 40 members
    When members join and leave in 200 steps
    Then the order of each key is that of a newly built ring

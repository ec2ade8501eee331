Feature: Consistent-hash ring

  Scenario: Keys of other members stay when one leaves
    Given a ring of 40 members
    When one member leaves
    Then only keys that it owned have a new owner
    And each order still names every member once

  Scenario: Load spreads over members
    Given a ring of 40 members
    Then no member owns more than twice its share of 20000 keys

  Scenario: A ring that changes step by step
    # Symptom: two nodes send one chat to two runners.
    # Sequence: one has followed joins and leaves one by one, the other has just started.
    # Cause: the ring depended on the order in which members came and went.
    Given a ring of 40 members
    When 200 members join and leave in turns
    Then the order of each key is that of a ring made anew

Feature: Ranks that starve

  # While more urgent calls fill the runners, the reserves leave nothing to the last rank.

  Scenario: The last rank gets nothing
    Given a pool with 3 ranks at one node
    When 20 of 20 calls of the rank 0, 10 of 20 of the rank 1 and 0 of 20 of the rank 2 are served
    Then the ranks that starve are "2"

  Scenario: A rank that starves gets its minimum again
    Given a pool with 3 ranks at one node
    When 20 of 20 calls of the rank 0, 10 of 20 of the rank 1 and 0 of 20 of the rank 2 are served
    And 6 of 6 calls of the rank 0, 0 of 0 of the rank 1 and 6 of 6 of the rank 2 are served
    Then the ranks that starve are "none"

  Scenario: A single rejected call
    Given a pool with 3 ranks at one node
    When 20 of 20 calls of the rank 0, 20 of 20 of the rank 1 and 0 of 1 of the rank 2 are served
    Then the ranks that starve are "none"

  Scenario: Two ranks get nothing
    # Only the more urgent one may come first, so that the order of the ranks holds.
    Given a pool with 3 ranks at one node
    When 20 of 20 calls of the rank 0, 0 of 20 of the rank 1 and 0 of 20 of the rank 2 are served
    Then the ranks that starve are "1"

  Scenario: An overload is over
    Given a pool with 3 ranks at one node
    When 20 of 20 calls of the rank 0, 10 of 20 of the rank 1 and 0 of 20 of the rank 2 are served
    And 60 s later, 5 of 5 calls of each rank are served
    Then the ranks that starve are "none"

  Scenario: The order of the ranks
    Then for any counts, no rank starves that is served as often as a more urgent one

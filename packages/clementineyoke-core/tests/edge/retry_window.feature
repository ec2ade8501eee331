Feature: A node's share of the retry budget

  Scenario: All runners fail for a while
    # 9 nodes see 20 calls each in 10 s, and all of them fail. If each node used the whole
    # allowance, the fleet's retries would exceed the service's budget.
    Given 9 nodes that share a ratio of 0.2 and 58 more in 10 s
    When each sees 20 calls in 9 s and all of them ask for a retry
    Then together they retry at most 94
    And each retries at least 4

  Scenario: The window slides
    Given 1 nodes that share a ratio of 0.2 and 4 more in 10 s
    When each sees 5 calls in 1 s and all of them ask for a retry
    Then no retry is left at 9 s
    And a retry is left at 12 s

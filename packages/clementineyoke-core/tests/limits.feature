Feature: A team's limit over several nodes

  Scenario: Three nodes share one budget
    Given a team's budget of 100 requests a second with a burst of 10
    When 3 nodes each offer 200 requests a second for 20 seconds
    Then the nodes let through 2010 requests, give or take 5 percent

  Scenario: A node that no longer sees the team keeps no tokens
    Given a purse with 5 tokens
    When 1100 ms pass
    Then the purse has nothing to spend

  Scenario: A clock that stands still or steps back gives no tokens
    Given a team's budget of 100 requests a second with a burst of 10
    When the clock steps back by 1000 ms after the burst is spent
    Then the bucket has nothing to give

Feature: A team's limit over several nodes

  Scenario: Three nodes share one budget
    Given a team's budget of 100 requests a second with a burst of 10
    When 3 nodes each offer 200 requests a second for 20 seconds
    Then the nodes admit 2010 requests, give or take 5 percent

  Scenario: A team far below its limit
    # Each node gets a few requests a second of a team: if the home grants only the tokens
    # requested although many are left, a fifth of all control bytes request single tokens.
    Given a team's budget of 100 requests a second with a burst of 200
    When 3 nodes each send 2 requests a second for 20 seconds
    Then the home was asked for tokens for less than a third of them

  Scenario: A node that gets no more requests of the team keeps no tokens
    Given a budget share with 5 tokens
    When 4100 ms pass
    Then the share has no tokens left

  Scenario: A clock that stands still or steps back adds no tokens
    Given a team's budget of 100 requests a second with a burst of 10
    When the clock steps back by 1000 ms after the burst is spent
    Then the budget has no tokens left

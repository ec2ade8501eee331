Feature: A team's limit over several nodes

  Scenario: Three nodes share one budget
    Given a team's budget of 100 requests a second with a burst of 10
    When 3 nodes each offer 200 requests a second for 20 seconds
    Then the nodes let through 2010 requests, give or take 5 percent

  Scenario: A team far below its limit
    # Symptom: a fifth of all control bytes ask for one token at a time.
    # Sequence: each node sees a few requests a second of a team.
    # Cause: the home gave only what was asked, though nothing was scarce.
    Given a team's budget of 100 requests a second with a burst of 200
    When 3 nodes each send 2 requests a second for 20 seconds
    Then the home was asked for less than a third of them

  Scenario: A node that no longer sees the team keeps no tokens
    Given a purse with 5 tokens
    When 4100 ms pass
    Then the purse has nothing to spend

  Scenario: A clock that stands still or steps back gives no tokens
    Given a team's budget of 100 requests a second with a burst of 10
    When the clock steps back by 1000 ms after the burst is spent
    Then the bucket has nothing to give

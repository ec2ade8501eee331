Feature: Which node is home of what

  Scenario: A team calls through two regions
    # Symptom: a team gets its rate once in each region; claim writes conflict all day.
    # Sequence: nodes of three regions each look for the home of one budget, one shard.
    # Cause: homes were taken from the own region's nodes alone.
    Given 6 nodes in 3 regions that know of one another
    Then all of them name one home for each of 50 budgets and claim shards
    And the home of a runner is in the runner's region
    And one node has the duty to write snapshots

  Scenario: The home of a budget dies
    Given 6 nodes in 3 regions that know of one another
    When the home of a budget is rumoured down
    Then all others name another home for it

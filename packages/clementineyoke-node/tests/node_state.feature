Feature: Home nodes of budgets, claim shards and runners

  Scenario: Nodes of several regions choose the same home nodes
    # A team would get its rate once per region, and claim writes would conflict, if a
    # node chose home nodes for budgets and claim shards among its own region's nodes.
    Given 6 nodes in 3 regions that know one another
    Then all nodes choose the same home node for each of 50 budgets and claim shards
    And the home node of a runner is in the runner's region
    And exactly one node writes the snapshots of settings

  Scenario: The home node of a budget goes down
    Given 6 nodes in 3 regions that know one another
    When the home node of a budget is reported down
    Then all other nodes choose the same new home node for it

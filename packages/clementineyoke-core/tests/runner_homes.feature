Feature: Homes of runners

  Scenario: Homes are spread evenly
    # Callers connect to the home of their chat's runner: consistent hashing without a limit
    # per node made one node of nine the home of three of the six engines, and that node
    # carried half of all chats.
    Given 9 nodes and pools of 6 and 3 runners
    Then no node is home of 2 runners of a pool
    And every runner has a home, the same for any order of the lists

  Scenario: A node that leaves moves few homes
    Given 137 nodes and pools of 146 and 146 runners
    Then no node is home of 3 runners of a pool
    When one node leaves the region
    Then at most 4 percent of the homes have moved

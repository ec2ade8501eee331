Feature: Ranks, pressure and admission level

  Scenario Outline: Priority classes of a pool
    # Each team had a priority of its own. It replaced that of the routes, so that all
    # calls of most teams were equally urgent and the most urgent route was served worst.
    Given a pool whose routes have the priorities 1 and 4, and teams of 0, of 4 and of none
    Then a call by the route of <route> of a team of <team> has the priority <priority>

    Examples:
      | route | team | priority |
      | 1     | 0    | 0        |
      | 4     | 0    | 1        |
      | 1     | none | 2        |
      | 1     | 4    | 3        |
      | 4     | 4    | 4        |
      | 4     | none | 4        |
      | 1     | 2    | 3        |
      | 4     | 9    | 4        |

  Scenario: A pool with more priority classes than runners know degrees of urgency
    Given a pool whose routes have 12 priorities
    Then the priorities of their calls are 0 to 9, and 9 for the last three

  Scenario: The level rises fast and falls slowly
    Given an admission level of 3 ranks
    When the pressure is 2.5 for 1 s
    Then the level is 2 and 30 in 100 calls of the ranks 1 and 2 are admitted
    When the pressure is 0.9 for 4 s
    Then the level is 1 and 30 in 100 calls of the rank 2 and all of the rank 1 are admitted
    When the pressure is 0.9 for 4 s
    Then the level is 0 and all calls are admitted

  Scenario: A wrong level
    # A level is advisory: it must not outlast the pressure that it was derived from, and
    # never reject the most urgent rank.
    Given an admission level of 3 ranks
    When the pressure is 4 for 1 s
    Then all calls of the rank 0 are admitted
    When the pressure is 0.5 for 0.1 s
    Then all calls are admitted
    When the pressure is 0.5 for 8 s
    Then the level is 0 and all calls are admitted

  Scenario: A rank that the level does not know yet
    # A newer desired state gives calls their ranks before the level is told of it. At level
    # 0, such calls were rejected down to the minimum share although the pool was idle.
    Given an admission level of 2 ranks
    Then all calls are admitted
    When the pressure is 4 for 1 s
    Then the level is 1 and 30 in 100 calls of the ranks 1 and 2 are admitted

  Scenario: A more urgent rank is never rejected more often
    Then for any pressures and any draw, a level that admits a rank admits the more urgent

  Scenario: A node without gossip
    # A node that is cut off during an overload must not reject calls by an old mean.
    Given a node that shares a pressure of 1.8 with the fleet, and whose runners have 0.9
    When the last gossip is 1.9 s old
    Then its pressure is 1.8, from the fleet
    When the last gossip is 2.1 s old
    Then its pressure is 0.9, from its own runners
    And its level has fallen to 0 within 8 s

  Scenario: The age of a pressure
    # A pool beyond the limit for gossip uses the node's own counts; its log lines gave the
    # age of the last gossip, which has no part in them.
    Given a node that measures 20 pools
    When the last gossip is 700 ms old, and the node's own counts are 30 ms old
    Then the pressure of the pool "pool-0" is from the fleet and 700 ms old
    And the pressure of the pool "pool-9" is from its own runners and 30 ms old

  Scenario: A node without gossip whose urgent calls get no slot
    Given a node that shares a pressure of 0.9 with the fleet, and whose runners have 0.9
    When the last gossip is 2.1 s old
    And 36 urgent calls get no slot
    Then its pressure is 1.8, from its own runners

  Scenario: A node that has just started
    Given a node that has just started
    Then its level is 0
    When it has exchanged its shares with a node of a fleet with a pressure of 1.5
    Then its pressure is 1.5, from the fleet

  Scenario: A node with a stale desired state
    # Nodes that have the newer state use its priorities already.
    Given a node whose desired state gives the priorities 0 and 2
    When other nodes know a state with the priorities 0, 1 and 2
    Then the node ranks the priorities 0, 1 and 2 as 0, 1 and 1
    And after the newer state arrives, as 0, 1 and 2

  Scenario: Calls that wait at a home
    # Calls in use alone never exceed the bound of a runner, however many wait for a slot.
    Given a node that measures a pool
    When its runners with 10 slots have 8 calls in use and 4 queued
    Then its pressure is 1.2, from its own runners

  Scenario: No runner of a pool accepts calls
    # There is no mean occupancy then, and most nodes have few urgent calls of their own.
    Given a node that measures a pool
    When it exchanges shares with a fleet without slots, where 60 in 100 urgent calls fail
    Then its pressure is 0.6, from its own runners

  Scenario: Urgent calls cease after they have failed
    Given a node that measures a pool
    When 20 urgent calls get no slot
    And 10 s pass without calls
    Then its pressure is less than 0.01

  Scenario: Many pools with priorities
    # Control traffic is limited to 5 KB/s per node, whatever the operator configures.
    Given a node that measures 20 pools
    Then 16 keys are gossiped
    And every pool has the pressure of the node's own runners

  Scenario: Few calls use the most urgent priority of a pool
    # Checks of routes that serve nothing else had the most urgent priority of a plain
    # service, and nearly all of its calls were rejected in their favor.
    Given a node whose desired state gives the priorities 0 and 2
    When 100 calls of the last class and 8 of the first arrive within 10 s
    Then the node ranks the first and the last class as 0 and 0

  Scenario: A pool of a plain service
    # Clumps of calls of milliseconds filled its few slots, and the level, which follows
    # the gossip, rejected calls after the clump had passed.
    Given a node whose desired state gives the priorities 0 and 2 to a plain service
    When 100 calls of the last class and 100 of the first arrive within 10 s
    Then the node ranks the first and the last class as 0 and 0
    And it has no pool with ranks

  Scenario: A surge of the least urgent calls
    # The urgent calls, then less than a tenth of all, must not lose their rank.
    Given a node whose desired state gives the priorities 0 and 2
    When 150 calls of the last class and 150 of the first arrive within 30 s
    And 600 calls of the last class and 50 of the first arrive within 10 s
    Then the node ranks the first and the last class as 0 and 1

  Scenario: A node that has seen few calls
    Given a node whose desired state gives the priorities 0 and 2
    When 19 calls of the last class and 0 of the first arrive within 1 s
    Then the node ranks the first and the last class as 0 and 1

  Scenario: Few calls use a priority between two others
    # A call without a rank of its own must not displace more urgent ones.
    Given a node whose desired state gives the priorities 0, 1 and 2
    When 100 calls of class 0, 8 of class 1 and 100 of class 2 arrive
    Then the node ranks the classes 0, 1 and 2 as 0, 1 and 1

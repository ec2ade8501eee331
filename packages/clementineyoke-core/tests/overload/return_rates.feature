Feature: The rate at which a pool frees capacity

  Scenario: Grants are counted by pool
    # A rate that counts the grants of another pool sends callers back too soon.
    Given a home that grants 10 slots per second on a runner of "m" for 10 s
    Then it grants about 10 slots per second in "m" and none in "other"
    And none in "m" after the pool was removed

  Scenario Outline: Nodes know the rate of the fleet from gossip
    # Most nodes are home of no runner of a pool, and callers connect to a few nodes.
    Given <nodes> nodes of which 5 grant 12 slots per second each
    When they have exchanged gossip for 40 rounds
    Then each node's rate is within 15 percent of <rate> per second if it gets <share> percent of the calls

    Examples:
      | nodes | share | rate |
      | 60    | 10    | 6    |
      | 60    | 0     | 1    |
      | 400   | 25    | 15   |

  Scenario: A node that had no calls for half an hour
    # Its share of the calls decays toward 0. With a rate that underflows to 0 the plan of
    # the next rejected call divides by zero, and the caller gets an internal error.
    Given 20 nodes of which 5 grant 12 slots per second each
    When they have exchanged gossip for 40 rounds
    And the share of a node in the fleet's calls has decayed to 5e-324
    Then the node's rate is that of the fleet and at least 0.05 per second
    And the node can plan a return with it

  Scenario: A node without gossip
    # A rate from before a partition is no longer true.
    Given 20 nodes of which 5 grant 12 slots per second each
    When they have exchanged gossip for 40 rounds
    And no gossip has arrived for 2.1 s
    Then the rate of a node with homes is that of its own grants
    And the rate of a node without homes is unknown

  Scenario: A node that has just started
    Given 20 nodes of which 5 grant 12 slots per second each
    Then the rate of a node with homes is that of its own grants
    And the rate of a node without homes is unknown

  Scenario: A pool that nobody calls
    # The remainder of a decayed average is no capacity: a caller would be told to wait.
    Given 20 nodes of which 5 grant 12 slots per second each
    When no grant has been given for 30 s
    Then the rate of a node without homes is unknown

  Scenario: There are more pools than gossip has room for
    # Each key costs 16 bytes in every message, of 5 KB/s for all control traffic.
    Given 20 nodes of which 5 grant 12 slots per second each
    When the fleet has 100 pools
    Then the rates of 16 pools are gossiped, the same on every node

  Scenario: Pools come and go
    # Keys of former pools would fill the messages up to the limit on control traffic.
    Given 20 nodes of which 5 grant 12 slots per second each
    When they have exchanged gossip for 40 rounds
    And the pool is replaced by 3 others
    Then the messages have 3 keys

  Scenario: A pool goes while a reply is awaited
    # Merging the reply would bring the key back, and no later change would remove it.
    Given 20 nodes of which 5 grant 12 slots per second each
    When they have exchanged gossip for 40 rounds
    And the pool is replaced by 3 others between a push and its reply
    Then the messages have 3 keys

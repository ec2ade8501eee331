Feature: Which nodes callers are told to connect to

  Scenario: A fleet of unequal hosts
    # Pattern: 15 hosts that bear 430 calls a second, 180 that bear 100, in five zones;
    #   311 calls a second, and 64 addresses to an answer.
    # Symptom: most calls go to small hosts. Each of them sees too few calls to keep its
    #   connections to 44 runners: 13,000 new ones for 19,000 calls. After a loss of
    #   power callers wait for the small hosts' starts.
    # Cause: the first 64 of the list were named, whatever they bear.
    Given 15 hosts that bear 430 and 180 that bear 100 calls a second, in 5 zones
    When the fleet has 311 calls a second
    Then 15 nodes are named, each of which bears 430
    And the named ones lie in 5 zones
    And every node of the fleet names the same ones

  Scenario: More calls than the strong hosts bear
    Given 15 hosts that bear 430 and 180 that bear 100 calls a second, in 5 zones
    When the fleet has 2140 calls a second
    Then 15 nodes are named, each of which bears 430
    When the fleet has 3000 calls a second
    Then 15 nodes are named, each of which bears 430

  Scenario: Too few strong hosts
    Given 2 hosts that bear 430 and 57 that bear 100 calls a second, in 3 zones
    When the fleet has 100 calls a second
    Then 16 nodes are named, each of which bears 100
    When the fleet has 1000 calls a second
    Then 30 nodes are named, each of which bears 100

  Scenario: Strong hosts that are lost
    Given 15 hosts that bear 430 and 180 that bear 100 calls a second, in 5 zones
    When 10 of the strong hosts are lost
    And the fleet has 311 calls a second
    Then 5 nodes are named, each of which bears 430
    Given 15 hosts that bear 430 and 180 that bear 100 calls a second, in 5 zones
    When 12 of the strong hosts are lost
    And the fleet has 311 calls a second
    Then 16 nodes are named, each of which bears 100

  Scenario: A loss changes one place
    Given 0 hosts that bear 430 and 195 that bear 100 calls a second, in 5 zones
    When the fleet has 311 calls a second
    Then 16 nodes are named, each of which bears 100
    And with one of the named ones lost at least 12 others stay

  Scenario: A small fleet, and hosts that do not say what they bear
    Given 0 hosts that bear 430 and 9 that bear 214 calls a second, in 3 zones
    When the fleet has 60 calls a second
    Then 9 nodes are named, each of which bears 214
    Given 0 hosts that bear 430 and 195 that bear 0 calls a second, in 5 zones
    When the fleet has 311 calls a second
    Then 64 nodes are named, each of which bears 0

  Scenario: What a host bears
    Then a host with 2.15 cores and 200 Mbit bears 430 calls a second
    And a host with 0.516 cores and 20 Mbit bears 103 calls a second
    And a host with 2.15 cores and 5 Mbit bears 52 calls a second
    And a host with 0 cores and 200 Mbit bears 0 calls a second

  Scenario: The calls a second of a node
    When a node has 60 calls a second for 10 s
    Then its rate is between 57 and 63 calls a second
    And 4 s after the last one it is under 10

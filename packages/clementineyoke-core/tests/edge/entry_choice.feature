Feature: Selection of the nodes that callers are told to connect to

  Scenario: A fleet of unequal hosts lists the strong ones
    # 15 hosts sustain 430 calls a second and 180 sustain 100, in five zones; the fleet has
    # 311 calls a second, and a response lists up to 64 addresses. If the first 64 nodes were
    # listed whatever their capacity, most calls would go to small hosts. Each of these gets
    # too few calls to keep its connections to 44 runners open (13,000 new ones for 19,000
    # calls), and after a power failure callers wait for the small hosts to start.
    Given 15 hosts that sustain 430 and 180 that sustain 100 calls a second, in 5 zones
    When the fleet has 311 calls a second
    Then 15 nodes are listed, each of which sustains 430
    And the listed nodes are in 5 zones
    And every node of the fleet lists the same ones

  Scenario: More calls than the strong hosts sustain
    Given 15 hosts that sustain 430 and 180 that sustain 100 calls a second, in 5 zones
    When the fleet has 2140 calls a second
    Then 15 nodes are listed, each of which sustains 430
    When the fleet has 3000 calls a second
    Then 15 nodes are listed, each of which sustains 430

  Scenario: Too few strong hosts
    Given 2 hosts that sustain 430 and 57 that sustain 100 calls a second, in 3 zones
    When the fleet has 100 calls a second
    Then 16 nodes are listed, each of which sustains 100
    When the fleet has 1000 calls a second
    Then 30 nodes are listed, each of which sustains 100

  Scenario: Strong hosts are lost
    Given 15 hosts that sustain 430 and 180 that sustain 100 calls a second, in 5 zones
    When 10 of the strong hosts are lost
    And the fleet has 311 calls a second
    Then 5 nodes are listed, each of which sustains 430
    Given 15 hosts that sustain 430 and 180 that sustain 100 calls a second, in 5 zones
    When 12 of the strong hosts are lost
    And the fleet has 311 calls a second
    Then 16 nodes are listed, each of which sustains 100

  Scenario: The loss of a listed node changes one place of the list
    Given 0 hosts that sustain 430 and 195 that sustain 100 calls a second, in 5 zones
    When the fleet has 311 calls a second
    Then 16 nodes are listed, each of which sustains 100
    And if one of the listed nodes is lost, at least 12 of the others stay listed

  Scenario: A small fleet, and hosts of unknown capacity
    Given 0 hosts that sustain 430 and 9 that sustain 214 calls a second, in 3 zones
    When the fleet has 60 calls a second
    Then 9 nodes are listed, each of which sustains 214
    Given 0 hosts that sustain 430 and 195 that sustain 0 calls a second, in 5 zones
    When the fleet has 311 calls a second
    Then 64 nodes are listed, each of which sustains 0

  Scenario: Capacity of a host
    Then a host with 2.15 cores and 200 Mbit sustains 430 calls a second
    And a host with 0.516 cores and 20 Mbit sustains 103 calls a second
    And a host with 2.15 cores and 5 Mbit sustains 52 calls a second
    And a host with 0 cores and 200 Mbit sustains 0 calls a second

  Scenario: Call rate of a node
    When a node gets 60 calls a second for 10 s
    Then its rate is between 57 and 63 calls a second
    And 4 s after the last call its rate is below 10

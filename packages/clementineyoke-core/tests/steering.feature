Feature: Selection of nodes for a caller

  Scenario: Few nodes per team, spread over zones, the chat's home first
    Given 9 nodes alive in 3 zones
    Then a small team gets 3 nodes in 3 zones
    And a repeated query gives the same nodes
    And a chat whose home is node-7 gets node-7 first
    And in three rotations each of the 3 nodes is first once
    And a team of 100 requests a second gets 8 nodes

  Scenario: A node that leaves does not change the other nodes
    Given 9 nodes alive in 3 zones
    When the first node of a team leaves
    Then the team's other nodes stay

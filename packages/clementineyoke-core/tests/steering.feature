Feature: Which address to use

  Scenario: Few nodes a team, spread over zones, the chat's home first
    Given 9 nodes alive in 3 zones
    Then a small team gets 3 nodes in 3 zones
    And asking again gives the same nodes
    And a chat whose home is node-7 gets node-7 first
    And in three turns each of the 3 nodes is first once
    And a team of 100 requests a second gets 8 nodes

  Scenario: A node that leaves moves only its own place
    Given 9 nodes alive in 3 zones
    When the first node of a team leaves
    Then the team's other nodes stay

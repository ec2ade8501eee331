Feature: The story of a request from the logs of several nodes

  Scenario: A request failed at one node and came back at another
    Given the logs of 2 nodes, collected with a prefix and with a torn last line
    When the operator explains the request "r-1" by them
    Then the story names in order "routed, runner_failed, route_refused, runner_paused"
    And it says nothing of the request "r-2"

  Scenario: Nobody has logged the request
    Given the logs of 2 nodes, collected with a prefix and with a torn last line
    When the operator explains the request "r-9" by them
    Then the command fails and names the request and the files

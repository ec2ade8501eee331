Feature: Reports of speed in a fleet

  Scenario Outline: A report is forwarded to the runner's home
    # A home that answers few calls itself learns of a slow runner from the other nodes.
    Given a fleet of 2 nodes and 1 runner that know each other
    When all runners report the load "1,0,8,250" and respond as "<act>"
    And 3 "<kind>" calls reach a node that is not the home of runner 1
    Then the home of runner 1 learns its slowdown
    And all nodes describe the calls of the pool

    Examples:
      | kind       | act    |
      | idempotent | ok     |
      | streaming  | stream |
      | idempotent | refuse |

  Scenario: A node without calls learns that a pool reports its speed
    # Its first calls would not be described, and so be granted on slow runners.
    Given a fleet of 3 nodes and 1 runner that know each other
    When all runners report the load "1,0,8,250" and respond as "ok"
    And 3 "idempotent" calls reach a node that is not the home of runner 1
    Then all nodes describe the calls of the pool

  Scenario Outline: Runners that do not report their speed
    # A pool whose runners send three values is served as before.
    Given a fleet of 2 nodes and 2 runners that know each other
    When all runners report the load "<load>" and respond as "ok"
    And 12 "idempotent" calls reach each node
    Then all of them are answered
    And no node sends reports of speed or response times, or describes calls
    And node 1 has counted <malformed> malformed load headers

    Examples:
      | load        | malformed |
      | 1,0,8       | 0         |
      | 1,0,8,fast  | 12        |

  Scenario: Weighting by speed is switched off
    Given a fleet of 2 nodes and 2 runners with speed_weighting off
    When all runners report the load "1,0,8,250" and respond as "ok"
    And 12 "idempotent" calls reach each node
    Then all of them are answered
    And no node sends reports of speed or response times, or describes calls

  Scenario: The explanation of a call names a slow runner that was passed over
    # Passing over a runner without recording it leaves the choice unexplained.
    Given a fleet of 1 node and 4 runners
    When all runners report the load "1,0,8,100" and respond as "ok"
    And runner 1 reports the load "1,0,8,250"
    And up to 300 calls arrive at node 1 until one passes over runner 1
    Then the decision on it names runner 1 as speed
    And the metrics of node 1 show the slowdown of runner 1

  Scenario: Response times reach the home
    # A slow host class is found by its response times alone; a fast error is no speed.
    Given a fleet of 2 nodes and 1 runner that know each other
    When all runners report the load "1,0,8,100" and respond as "ok"
    And 20 "idempotent" calls reach a node that is not the home of runner 1
    Then the home of runner 1 gets response times
    When all runners report the load "1,0,8,100" and respond as "fail"
    And 3 "idempotent" calls reach a node that is not the home of runner 1
    And all runners report the load "1,0,8,100" and respond as "ok"
    And 1 "idempotent" calls reach a node that is not the home of runner 1
    Then the home of runner 1 gets 1 more response time

  Scenario: A report for a home that has moved
    # The sender's view may be outdated; the former home must not keep state of the runner.
    Given a fleet of 2 nodes and 1 runner that know each other
    When a report of runner 1 arrives at a node that is not its home
    Then that node keeps no speed of runner 1

  Scenario: A response time for a home that has moved
    # A former home that keeps the time counts the runner twice in the pool's means.
    Given a fleet of 2 nodes and 1 runner that know each other
    When all runners report the load "1,0,8,100" and respond as "ok"
    And 1 "idempotent" calls reach a node that is not the home of runner 1
    And a response time of runner 1 arrives at a node that is not its home
    Then that node keeps no speed of runner 1

  Scenario: A runner restarts under the same id
    # Estimates of the previous lifetime would keep calls off a runner that is fast again.
    Given a fleet of 2 nodes and 1 runner that know each other
    When all runners report the load "1,0,8,250" and respond as "ok"
    And 3 "idempotent" calls reach a node that is not the home of runner 1
    Then the home of runner 1 learns its slowdown
    When the home of runner 1 learns that it has restarted
    Then that node keeps no speed of runner 1
    When a report of the previous lifetime of runner 1 arrives at its home
    Then that node keeps no speed of runner 1

  Scenario: The home of a runner moves away
    # The former home would gossip an outdated estimate next to that of the new home.
    Given a fleet of 2 nodes and 1 runner that know each other
    When all runners report the load "1,0,8,250" and respond as "ok"
    And 3 "idempotent" calls reach a node that is not the home of runner 1
    Then the home of runner 1 learns its slowdown
    When the home of runner 1 moves to the other node
    Then that node keeps no speed of runner 1

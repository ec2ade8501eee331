Feature: Cold runners get no more than they bear

  A cold runner is rated for 4 calls a second. It crashes above 1.5 times that rate plus
  5 calls.

  Scenario: A surge meets runners that have just started
    # Two runners start during a surge. If only slots are limited, not calls a second, each
    # gets its full share of all calls and crashes within a second, with all calls on it.
    Given a fleet of 2 nodes and 3 runners, of which 2 have just started
    When 120 calls arrive within a second
    Then no runner has crashed
    And a cold runner received no more than 5 calls in any second
    And most of the calls are answered

  Scenario: All runners of a pool are cold
    # A release or a zone's return leaves only cold runners. If the last slot request of a
    # search is granted whatever the runner's rate, they crash one after the other, again
    # and again.
    Given a fleet of 1 node and 2 runners, of which 2 have just started
    When 60 calls arrive within a second
    Then no runner has crashed
    And refused calls have not run and carry a Retry-After

  Scenario: The home node of a cold runner does not respond
    # The home node counts the calls but hangs, and after 25 ms each node chooses without
    # it. If that choice ignores that the runner is cold, the runner crashes.
    Given a fleet of 2 nodes and 1 runner, of which 1 has just started
    When the runner's home node stops responding and 40 calls arrive at the other node
    Then no runner has crashed

  Scenario: The explanation of a call names a cold runner that was passed over
    Given a fleet of 1 node and 2 runners, of which 1 have just started
    When 30 calls arrive within a second
    Then the decision on one of them names the cold runner that was passed over

  Scenario: Runners warm up
    Given a fleet of 1 node and 2 runners, of which 2 have just started
    When the runners report that they are warm
    And 60 calls arrive within a second
    Then most of the calls are answered

  Scenario: The connection to a cold runner is ready too late
    # The call would reach the runner together with the next one. It may run only once, so
    # it goes to another runner only because nothing of it was sent to the first.
    Given a fleet of 1 node and 2 runners, of which 1 have just started
    When the slot of a call expires while the node connects to its runner
    Then the call is answered by the other runner and has run once
    And the runner does not count as unreachable

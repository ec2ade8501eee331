Feature: Effective speed of runners

  Background:
    Given a home of 6 runners of one pool that report their speed

  Scenario: A runner is slow at the moment
    # A call with a short objective that starts on a slow runner misses its objective.
    When every runner reports 100, but runner 1 reports 250
    Then a call with an objective of 300 ms is refused on runner 1 as speed
    And it is granted on runner 2
    And a last-resort request for it is granted on runner 1
    And a queued request for it is granted on runner 1
    And a call with an objective of 5000 ms is granted on runner 1

  Scenario: A long prefill on a slow runner
    # One long prefill delays every stream of a slow runner beyond the allowed pause.
    When every runner reports 100, but runner 1 reports 250
    And 30 s pass with a call each second and the same reports
    Then a call with 10512 shared and 1300 own tokens is refused on runner 1 as speed

  Scenario: A long prompt is cached on a slow runner
    # Prefilling the shared parts again elsewhere takes longer than the slow runner.
    When 30 s pass with a call each second and the same reports
    And a call with 10512 shared and 1300 own tokens runs on runner 1
    And every runner reports 100, but runner 1 reports 250
    Then a call with 10512 shared and 1300 own tokens is granted on runner 1
    And a call with 0 shared and 11812 own tokens is refused on runner 1 as speed

  Scenario Outline: An urgent call whose prompt is cached on a slow runner
    # Calls that move although their prompt is cached load the other runners with prefill.
    When 30 s pass with a call each second and the same reports
    And a call with <shared> shared and 360 own tokens runs on runner 1
    And every runner reports 100, but runner 1 reports 250
    Then an urgent call with <shared> shared and 360 own tokens is <result> on runner 1

    Examples:
      | shared | result           |
      | 2041   | refused as speed |
      | 10512  | granted          |

  Scenario Outline: A long prompt is cached on a lastingly slow runner
    # A lowered bound must not move a call to a runner that serves it even later.
    When 30 s pass with a call each second and the same reports
    And for 20 s every runner reports 100, and runner 1 takes 130 percent of the time
    And a call with <shared> shared and 360 own tokens runs on runner 1
    Then its load weight on runner 1 is <low> to <high>

    Examples:
      | shared | low  | high |
      | 300    | 0.75 | 0.9  |
      | 10512  | 1    | 1    |

  Scenario: A home that does not know what its runners have cached
    # A home that has just taken over a runner must not move prompts that are cached.
    When every runner reports 100, but runner 1 reports 250
    Then a call with 10512 shared and 1300 own tokens is granted on runner 1

  Scenario: Calls without a description ran on a slow runner
    # Nodes of an earlier release do not tell which prompts their calls leave in the cache.
    When 30 s pass with a call each second and the same reports
    And a call without a description runs on runner 1
    And every runner reports 100, but runner 1 reports 250
    Then a call with 10512 shared and 1300 own tokens is granted on runner 1

  Scenario: The end of an interference is not reported
    # A lost report, or a runner without calls, must not stay avoided.
    When every runner reports 100, but runner 1 reports 250
    And 600 ms pass without reports
    And every runner but runner 1 reports 100
    Then a call with an objective of 300 ms is granted on runner 1

  Scenario: The next report replaces a lost one
    When every runner reports 100, but runner 1 reports 250
    And every runner reports 100
    Then a call with an objective of 300 ms is granted on runner 1

  Scenario: Reports arrive late or in the wrong order
    When every runner reports 100
    And a report of 250 by runner 1 arrives that is 200 ms old
    Then a call with an objective of 300 ms is granted on runner 1

  Scenario: Late reports of other runners
    # Outdated reports in the pool's median would make a slow pool look usual.
    When every runner reports 250
    And reports of 100 by all runners arrive that are 200 ms old
    Then a call with an objective of 300 ms is granted on all runners
    And the pool's usual slowdown is 2.5

  Scenario: A report older than a second
    When every runner reports 100 and runner 1 does not report
    And a report of 400 by runner 1 arrives that is 1001 ms old
    Then the lasting slowdown of runner 1 is 1.0 to 1.0
    And a call with an objective of 300 ms is granted on runner 1

  Scenario Outline: A whole pool slows down at once
    # If every runner refused, each call would try eight runners before it gets one.
    When every runner reports <percent>
    Then a call with an objective of 300 ms is granted on all runners

    Examples:
      | percent |
      | 250     |
      | 1000    |
      | 0       |

  Scenario: A slow pool is known only from the gossip of other homes
    When the gossip of the pool has a mean slowdown of 2.5
    And every runner reports 100, but runner 1 reports 250
    Then a call with an objective of 300 ms is granted on runner 1

  Scenario: The usual speed of a pool is known only from the gossip of other homes
    # In a large fleet a home has one runner of a pool, and few calls to the others.
    When the gossip of the pool has a mean slowdown of 1.2
    And runner 1 alone reports 250
    Then a call with an objective of 300 ms is refused on runner 1 as speed

  Scenario: A slow pool whose runners report seldom
    # A mean of decayed reports would make each new report of a slow pool exceptional.
    When every runner reports 250
    And 900 ms pass without reports
    Then the mean slowdown that the home gossips is 2.5

  Scenario: Nothing to compare a report with
    When runner 1 alone reports 250
    Then a call with an objective of 300 ms is granted on runner 1

  Scenario: A slow host class that reports the usual speed
    # A runner that is 1.3 times slower may still report 100, and fills up like the others.
    When for 20 s every runner reports 100, and runner 1 takes 130 percent of the time
    Then the lasting slowdown of runner 1 is 1.2 to 1.3
    And the load weight of runner 1 is 0.75 to 0.9
    And the load weight of runner 2 is 1 to 1

  Scenario: A runner always reports an absurd slowdown
    # A runner with a faulty report would get no calls although it is as fast as the others.
    When for 20 s runner 1 reports 1000 and all runners take 100 percent of the time
    Then a call with an objective of 300 ms is granted on runner 1
    And the load weight of runner 1 is 0.95 to 1

  Scenario: A runner is lastingly slow and reports it
    # Distrust of faulty reports must not hide a runner that really is slow.
    When for 20 s runner 1 reports 250 and takes 250 percent of the time
    Then a call with an objective of 300 ms is refused on runner 1 as speed
    And the load weight of runner 1 is 0.5 to 0.6

  Scenario: A single absurd report
    When every runner reports 100, but runner 1 reports 60000
    Then the current slowdown of runner 1 is 4.0 to 4.0

  Scenario: Only failures come from a runner
    # A runner that fails fast must not look faster than the others.
    When for 20 s every runner reports 100, and runner 1 answers nothing
    Then the load weight of runner 1 is 1 to 1
    And the load weight of runner 2 is 1 to 1

  Scenario: A home moves
    # State of a runner that moved away and returned may be outdated.
    When for 20 s runner 1 reports 250 and takes 250 percent of the time
    And runner 1 moves to another home and back
    Then a call with an objective of 300 ms is granted on runner 1
    And the load weight of runner 1 is 1 to 1

  Scenario: A node of an earlier release requests a slot
    # Such a node does not describe the call, which may be one that must not move.
    When every runner reports 100, but runner 1 reports 250
    Then a call without a description is granted on runner 1

  Scenario: Runners cease to report
    # An outdated estimate must not lower a bound for good.
    When for 20 s runner 1 reports 250 and takes 250 percent of the time
    And 60000 ms pass without reports
    Then the load weight of runner 1 is 0.95 to 1

  Scenario Outline: The gossip of a pool whose runners cease to report
    # Peers take each runner in the gossiped mean for a reporting one, so that the pool
    # would count as reporting for good.
    When for 20 s runner 1 reports 250 and takes 250 percent of the time
    And <pause> ms pass without reports
    Then the home gossips the lasting slowdown of <count> runners

    Examples:
      | pause | count |
      | 60000 | 6     |
      | 60001 | 0     |

  Scenario: A pool without reports
    # A deployment whose runners do not report must be served as before.
    Then any requests for runners without reports get the same grants as without the rule

  Scenario: Uneven runners under load
    # Of 30 runners, every third is 1.3 times slower and reports 100. For 15% of the time, in
    # periods of 300 ms, each runner is 2.5 times slower. Short calls (objective 300 ms)
    # and calls with a long cached prompt come at 10 a second and runner.
    When 30 runners on 3 homes serve that load for 20 s with the rule and without it
    Then with the rule short calls start on slow runners at most 0.7 times as often
    And no call with a long cached prompt is refused for speed
    And all calls get a slot with the rule
    And slower runners have a mean load weight of 0.7 to 0.9, others of 0.95 to 1

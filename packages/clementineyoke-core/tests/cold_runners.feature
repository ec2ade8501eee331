Feature: Runners that have recently started

  A load without network: callers request slots on one cold runner as often as they can, at
  its home or at two homes. The runner crashes if it gets more than one and a half times its
  limit, plus five calls, within any second.

  Scenario: Surge on a cold runner
    # A runner has started and all its prompts return to it at once: a home that limits its
    # grants by slots but not by calls a second makes it crash within a second, repeatedly.
    Given a runner that takes 8.9 calls a second while it is cold, for 3000 ms
    When 200 calls a second request slots on it at its home
    Then no second of its first 3000 ms has more than 9 grants
    And after that all calls are granted

  Scenario: Two nodes consider themselves the runner's home
    # Homes move when a zone's nodes return together with its runners: each of two homes
    # keeps to the limit, but with a burst on top of it they make the runner crash.
    Given a runner that takes 8.9 calls a second while it is cold, for 3000 ms
    When 200 calls a second request slots on it at each of two homes
    Then no second of its first 3000 ms has more than 18 grants

  Scenario: A runner becomes cold while it gets calls
    Given a runner that takes 8.9 calls a second while it is cold, for 3000 ms
    And it is warm
    When 200 calls a second request slots on it at its home
    And after 1000 ms it reports that it is cold for 3000 ms
    Then no second from 1000 ms to 4000 ms has more than 9 grants

  Scenario: An evacuated zone returns before its runners have reported
    # The runners were restarted while the zone was evacuated, and their entries say so only
    # a second after its return: they crash if their last report is still believed.
    Given a runner that takes 8.9 calls a second while it is cold, for 3000 ms
    And it is warm
    When its zone returns
    Then it counts as cold for 3000 ms

  Scenario: A runner reports that it is warm
    Given a runner that takes 8.9 calls a second while it is cold, for 3000 ms
    When it reports that it is cold for 0 ms
    Then it counts as warm

  Scenario: A pool without a limit
    Given a runner that takes 0 calls a second while it is cold, for 3000 ms
    When 200 calls a second request slots on it at its home
    Then all calls are granted

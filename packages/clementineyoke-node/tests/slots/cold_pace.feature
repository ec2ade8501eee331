Feature: Pace of the calls to a cold runner

  A runner takes 4 calls a second while it is cold. Its home is node-2.

  Scenario: A home is wrongly taken for dead
    # A busy node missed its probes. For more than 0.5 s another node considered itself the
    # runner's home too, and the runner got the calls of both: up to 7 in a second.
    Given a cold runner and the views of node-1 and node-2
    When node-1 takes node-2 for dead from 1000 ms to 1900 ms
    Then no second of 4000 ms has more than 5 grants
    And node-2 has granted 16 of them

  Scenario: A home has died
    Given a cold runner and the views of node-1 and node-2
    When node-1 takes node-2 for dead from 1000 ms to 4000 ms
    And node-2 is dead from 900 ms
    Then node-1 grants from 2000 ms on

  Scenario: A home of a warm runner has died
    # Only the limit of a cold runner needs the pause; other calls would wait for nothing.
    Given a warm runner and the views of node-1 and node-2
    When node-1 takes node-2 for dead from 1000 ms to 4000 ms
    And node-2 is dead from 900 ms
    Then node-1 grants from 1000 ms on

  Scenario: A runner starts
    # A new runner has had no other home, so its first call need not wait.
    Given a cold runner and the views of node-1 and node-2
    Then node-2 grants from 0 ms on

Feature: A runner that fails part of its calls

  Scenario: Many nodes each see one failure
    # A runner fails 4 calls in 10 and nine nodes share its 10 calls a second: a node that
    # judges by its own calls, seconds apart, never pauses it, and its chats keep failing.
    Given a home that grants 10 calls a second on a runner
    When 4 calls in 10 fail from 1000 ms on
    Then the runner is paused before 2000 ms

  Scenario: A service that fails a seventh of some calls
    Given a home that grants 10 calls a second on a runner
    When 1 call in 10 fails from 1000 ms on
    Then the runner is not paused within 20000 ms

  Scenario: Pauses grow while the failures last and become short again afterwards
    Given a home that grants 10 calls a second on a runner
    When 5 calls in 10 fail from 1000 ms on
    Then after 15000 ms a pause is longer than the first one
    And after 60000 ms without failures a pause is as short as the first one

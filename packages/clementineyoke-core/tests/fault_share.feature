Feature: A runner that fails part of its calls

  Scenario: Many nodes each see one failure
    # Symptom: chats of one runner fail for as long as it is grey, on every node.
    # Sequence: a runner fails 4 calls in 10; nine nodes share its 10 calls a second.
    # Cause: each node judged by its own calls, which are seconds apart.
    Given a home that grants 10 calls a second on a runner
    When 4 calls in 10 fail from 1000 ms on
    Then the runner is paused before 2000 ms

  Scenario: A service that fails a seventh of some calls
    Given a home that grants 10 calls a second on a runner
    When 1 call in 10 fails from 1000 ms on
    Then the runner is not paused within 20000 ms

  Scenario: Pauses grow while the fault lasts, and are short again later
    Given a home that grants 10 calls a second on a runner
    When 5 calls in 10 fail from 1000 ms on
    Then after 15000 ms a pause lasts longer than at first
    And after 60000 ms without failures a pause is as short as at first

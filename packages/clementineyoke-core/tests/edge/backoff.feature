Feature: Backoff from runners that ask for it

  Scenario: Calls avoid a runner until its backoff is over
    Given a pool of the runners a, b, c
    When a asks for a backoff of 3000 ms at 1000 ms
    And expired backoffs are ended at 3999 ms
    Then calls are routed to all but "a"
    When expired backoffs are ended at 4000 ms
    Then calls are routed to all of them

  Scenario: A later refusal with a shorter backoff
    # Guards against a backoff that is shortened by the response to an earlier call.
    Given a pool of the runners a, b, c
    When a asks for a backoff of 3000 ms at 1000 ms
    And a asks for a backoff of 100 ms at 1200 ms
    And expired backoffs are ended at 3900 ms
    Then calls are routed to all but "a"

  Scenario: A runner in backoff also fails
    # Guards against a backoff that ends together with a quarantine.
    Given a pool of the runners a, b, c
    When a asks for a backoff of 3000 ms at 1000 ms
    And "a" refuses a connection at 1100 ms
    And expired quarantines are ended at 2000 ms
    Then calls are routed to all but "a"

  Scenario: All other runners fail
    # Guards against calls to a runner in backoff because no other is left.
    Given a pool of the runners a, b, c
    When each of them refuses a connection at 1000 ms
    And a asks for a backoff of 3000 ms at 1000 ms
    Then calls are routed to all but "a"

  Scenario: A runner restarts under its id
    # Guards against a backoff that carries over to the new lifetime.
    Given a pool of the runners a, b, c
    When a asks for a backoff of 3000 ms at 1000 ms
    And a restarts under its id
    Then calls are routed to all of them

  Scenario: Retry-After of a pool whose runners are all in backoff
    Given a pool of the runners a, b, c
    When each of them asks for a backoff at 1000 ms, for 3000, 2000 and 1000 ms
    Then calls to the pool may be retried at 2000 ms
    When the last of them leaves
    Then calls to the pool may be retried at 3000 ms

Feature: Backing off from runners that ask for it

  Scenario: Calls go elsewhere until the backoff is over
    Given a pool of the runners a, b, c
    When a asks for a backoff of 3000 ms at 1000 ms
    And backoffs are looked at 3999 ms
    Then calls find all but "a"
    When backoffs are looked at 4000 ms
    Then calls still find all of them

  Scenario: A later refusal names a shorter time
    # Guards against a backoff that the answer to an earlier call cuts short.
    Given a pool of the runners a, b, c
    When a asks for a backoff of 3000 ms at 1000 ms
    And a asks for a backoff of 100 ms at 1200 ms
    And backoffs are looked at 3900 ms
    Then calls find all but "a"

  Scenario: The runner fails as well
    # Guards against the end of a quarantine that ends a backoff.
    Given a pool of the runners a, b, c
    When a asks for a backoff of 3000 ms at 1000 ms
    And "a" fails to take a connection at 1100 ms
    And quarantines are looked at 2000 ms
    Then calls find all but "a"

  Scenario: All others fail
    # Guards against calls pressed on a backed-off runner for want of another.
    Given a pool of the runners a, b, c
    When each of them fails to take a connection at 1000 ms
    And a asks for a backoff of 3000 ms at 1000 ms
    Then calls find all but "a"

  Scenario: A runner starts anew under its id
    # Guards against a backoff that binds a new lifetime.
    Given a pool of the runners a, b, c
    When a asks for a backoff of 3000 ms at 1000 ms
    And a starts anew under its id
    Then calls still find all of them

  Scenario: When callers may come back to a pool that is backed off
    Given a pool of the runners a, b, c
    When each of them asks for a backoff at 1000 ms, for 3000, 2000 and 1000 ms
    Then the pool may be asked again at 2000 ms
    When the last of them leaves
    Then the pool may be asked again at 3000 ms

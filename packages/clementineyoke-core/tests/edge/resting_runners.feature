Feature: Runners that want no calls from a node for a while

  Scenario: Calls go elsewhere until the rest is over
    Given a pool of the runners a, b, c
    When a wants 3000 ms of rest at 1000 ms
    And rests are looked at 3999 ms
    Then calls find all but "a"
    When rests are looked at 4000 ms
    Then calls still find all of them

  Scenario: A later refusal names a shorter time
    # Guards against a rest that the answer to an earlier call cuts short.
    Given a pool of the runners a, b, c
    When a wants 3000 ms of rest at 1000 ms
    And a wants 100 ms of rest at 1200 ms
    And rests are looked at 3900 ms
    Then calls find all but "a"

  Scenario: A resting runner fails as well
    # Guards against the end of a quarantine that ends a rest.
    Given a pool of the runners a, b, c
    When a wants 3000 ms of rest at 1000 ms
    And "a" fails to take a connection at 1100 ms
    And quarantines are looked at 2000 ms
    Then calls find all but "a"

  Scenario: All others fail
    # Guards against calls pressed on a resting runner for want of another.
    Given a pool of the runners a, b, c
    When each of them fails to take a connection at 1000 ms
    And a wants 3000 ms of rest at 1000 ms
    Then calls find all but "a"

  Scenario: A runner starts anew under its id
    # Guards against a rest that binds a new lifetime.
    Given a pool of the runners a, b, c
    When a wants 3000 ms of rest at 1000 ms
    And a starts anew under its id
    Then calls still find all of them

  Scenario: When callers may come back to a pool that rests
    Given a pool of the runners a, b, c
    When each of them wants rest at 1000 ms, for 3000, 2000 and 1000 ms
    Then the pool may be asked again at 2000 ms
    When the last of them leaves
    Then the pool may be asked again at 3000 ms

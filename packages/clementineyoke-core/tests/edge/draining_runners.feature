Feature: Runners that signal in a response that they are draining

  Scenario: The entry is written again
    # Guards against an older entry that puts a draining runner back into use.
    Given a directory with the runners a, b
    When a response of a signals that it is draining
    And the entry of a comes back at 1000 ms
    Then a is draining and b is not

  Scenario: The entry lapses and returns
    # Guards against a draining runner that is used again after a store outage.
    Given a directory with the runners a, b
    When a response of a signals that it is draining
    And the entry of a ends at 60000 ms
    And the entry of a comes back at 61000 ms
    Then a is draining and b is not

  Scenario: A peer reports the draining
    # Guards against a report that is ignored because the revision of the entry is known.
    Given a directory with the runners a, b
    When a response of a signals that it is draining
    And this is reported to a new node
    Then the new node knows that a is draining

  Scenario: The runner restarts under its id
    # Guards against a new lifetime that is treated as draining.
    Given a directory with the runners a, b
    When a, started at 100, writes its entry at 1000 ms
    And lifetime 100 of a signals in a response that it is draining
    And a, started at 200, writes its entry at 2000 ms
    Then a is in use, started at 200 and not leaving

  Scenario: The previous lifetime signals late that it is draining
    # Guards against a late response of a lifetime that has ended.
    Given a directory with the runners a, b
    When a, started at 200, writes its entry at 1000 ms
    And lifetime 100 of a signals in a response that it is draining
    Then a is in use, started at 200 and not leaving

Feature: Runners that signal in an answer that they drain

  Scenario: The entry is written anew
    # Guards against a draining runner that an entry written before brings back.
    Given a directory with the runners a, b
    When an answer of a signals that it drains
    And the entry of a comes back at 1000 ms
    Then a is draining and b is not

  Scenario: The entry lapses and returns
    # Guards against a draining runner that returns with the store.
    Given a directory with the runners a, b
    When an answer of a signals that it drains
    And the entry of a ends at 60000 ms
    And the entry of a comes back at 61000 ms
    Then a is draining and b is not

  Scenario: A peer tells of it
    # Guards against news of the same entry that count as known.
    Given a directory with the runners a, b
    When an answer of a signals that it drains
    And that is told to a new node
    Then the new node knows that a is draining

  Scenario: The runner starts anew under its id
    # Guards against a new lifetime that is taken for the draining one.
    Given a directory with the runners a, b
    When a, born at 100, enters itself at 1000 ms
    And the lifetime 100 of a answers that it drains
    And a, born at 200, enters itself at 2000 ms
    Then a is in force, born at 200 and not leaving

  Scenario: The lifetime before signals it late
    # Guards against a late answer of a lifetime that is over.
    Given a directory with the runners a, b
    When a, born at 200, enters itself at 1000 ms
    And the lifetime 100 of a answers that it drains
    Then a is in force, born at 200 and not leaving

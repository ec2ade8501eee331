Feature: States of runners

  Scenario: A probe that began before the drain
    # The answer of a probe that was sent before the runner began to drain arrives late: if
    # it marks the runner ready again, a leaving runner gets new work.
    Given a listed runner
    When the runner reports that it is draining
    And a probe reports that it is ready
    Then the runner gets no new work

  Scenario: A host list that lags behind the runner's own report
    # The runner reports that it is draining, then the list changes for another host and
    # still shows the runner live: if the list is believed, the runner gets new work.
    Given a listed runner
    When the runner reports that it is draining
    And the list shows the runner live after 5000 ms
    Then the runner gets no new work
    When the list shows the runner live after 30000 ms
    Then the runner is ready again

  Scenario: Quarantines of a flapping runner grow
    Given a listed runner
    When 4 exchanges in a row fail before they begin
    Then the runner is probed only after 4000 ms
    And a successful probe makes it ready again

  Scenario: A repeated host list does not end a quarantine
    Given a listed runner
    When 1 exchanges in a row fail before they begin
    And the list shows the runner live again
    Then the runner gets no new work

Feature: States of runners

  Scenario: A probe that began before the drain
    # Symptom: new work on a leaving runner.
    # Sequence: a probe goes out, the runner begins to drain, the probe's answer comes.
    # Cause: the late answer marked the runner ready again.
    Given a listed runner
    When the runner says that it drains
    And a probe answers that it is ready
    Then the runner gets no new work

  Scenario: A list that lags behind the runner's own word
    # Symptom: new work on a leaving runner, each time any other host changes.
    # Sequence: the runner says that it drains; the list changes elsewhere and still
    #   shows the runner live.
    # Cause: the list was believed as of its arrival, not as of what it had seen.
    Given a listed runner
    When the runner says that it drains
    And the list shows the runner live after 5000 ms
    Then the runner gets no new work
    When the list shows the runner live after 30000 ms
    Then the runner is ready again

  Scenario: A flapping runner waits longer each time
    Given a listed runner
    When 4 exchanges in a row fail before they begin
    Then the runner is probed only after 4000 ms
    And a probe that succeeds makes it ready again

  Scenario: A list that repeats itself ends no quarantine
    Given a listed runner
    When 1 exchanges in a row fail before they begin
    And the list shows the runner live again
    Then the runner gets no new work

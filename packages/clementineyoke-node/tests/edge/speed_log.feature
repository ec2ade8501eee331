Feature: Log lines about the speed of runners

  Scenario: A runner becomes slow and recovers
    # Estimates change with each answer: a line for each change would flood the log.
    When the load weight of a runner is 1, 0.8, 0.88, 0.8, 0.95 and 1 in turn
    Then the log has the events 233, 234

  Scenario: A runner whose reports are not trusted
    When the trust in a runner is 1, 0.2, 0.5, 0.2, 1 and 0.2 in turn
    Then the log has the events 235, 235

  Scenario: A runner that has moved to another home
    # The new home logs the runner; a recovery logged here would contradict it.
    When the load weight of a runner is 1, 0.8 and moved in turn
    Then the log has the events 233
    And nothing is remembered of the runner

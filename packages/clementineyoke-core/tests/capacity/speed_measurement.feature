Feature: What a node measures and reports of the speed of runners

  Scenario: The times of answers of different routes
    # A route with long answers would make its runners look slow.
    Given 10 answers of "short" in 20 ms and of "long" in 500 ms
    Then an answer of "short" in 26 ms took 130 percent
    And an answer of "long" in 500 ms took 100 percent
    And an answer of "short" in 9000 ms took 400 percent

  Scenario: A route with few answers
    # A mean of a few answers would call a usual answer slow.
    Given 9 answers of "short" in 20 ms and of "long" in 500 ms
    Then an answer of "short" in 26 ms took 0 percent

  Scenario: The answers of a route are too old
    Given 10 answers of "short" in 20 ms and of "long" in 500 ms
    When 600000 ms pass
    Then an answer of "short" in 26 ms took 0 percent

  Scenario: More routes than are remembered
    # An unbounded table grows with names that an operator adds and removes.
    When 3000 routes have an answer each
    Then at most 1024 kinds of answers are remembered

  Scenario Outline: The pace of a stream
    # The prefill of a long prompt, or a caller that reads slowly, is not the runner's pace.
    When a stream has events after <received> ms, each written after <written> ms
    Then its time per event is <pace> ms

    Examples:
      | received        | written         | pace |
      | 400,440,480,520 | 400,440,480,520 | 40   |
      | 400             | 400             | 0    |
      | 400,440,480,520 | 400,460,500,560 | 0    |

  Scenario: A runner reports more often than its home is told
    # Every answer carries a report; one message for each exceeds the control traffic.
    When a runner reports 100, 250 and 300 within 20 ms
    Then its home is sent 100 at once and 300 after 50 ms that is 30 ms old

  Scenario: Reports of more runners than a node may send
    # The largest changes matter most: a report of the usual speed changes nothing.
    When 100 runners report at once, the last 5 of them 250 and the others 100
    Then 20 reports are sent at once, 5 of them of 250
    And after 2000 ms nothing is left to send

  Scenario: Reports that may not be sent yet
    # Sorting the waiting reports at each response takes more time than a decision.
    When 100 runners report at once, the last 5 of them 250 and the others 100
    Then 20 reports are sent at once, 5 of them of 250
    And the waiting reports are not sorted again within 49 ms
    And 1 report is sent after 51 ms

  Scenario: A pool ceases to report
    # Calls would be described, and means gossiped, for a pool that no longer needs it.
    Given a pool that reports its speed
    Then it counts as reporting after 60000 ms
    And it does not count as reporting after 60001 ms

  Scenario: Prompts of a runner are remembered up to a bound
    Given a runner that has been given calls for 20000 ms
    When 300 prompts are granted on it
    Then it may have the last prompt and not the first one
    And after 20001 ms it has none of them

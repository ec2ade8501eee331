Feature: Calls that are too large for an engine

  Scenario: A call is larger than the memory of any engine
    # It would go through all runners and their queues, and be refused in the end.
    Given a fleet with engines of 1000 tokens and priority_admission on
    When a caller streams a prompt of 1001 tokens with at most 10 output tokens
    Then it is rejected with 413, has reached no runner, and its log names the sizes

  Scenario Outline: A call that fits, or a pool without the feature
    # A maximum is no expectation: callers may state one that their calls never reach.
    Given a fleet with engines of <memory> tokens and priority_admission <setting>
    When a caller streams a prompt of <prompt> tokens with at most <output> output tokens
    Then it is answered

    Examples:
      | memory | setting | prompt | output |
      | 1000   | on      | 1000   | 10     |
      | 1000   | on      | 10     | 9000   |
      | 1000   | off     | 1001   | 10     |
      | 0      | on      | 1001   | 10     |

  Scenario: A call is refused for memory
    # The operator sees in one line which rules refused the call, and its size.
    Given a fleet with engines of 1000 tokens and priority_admission on
    And a slow stream of a prompt of 600 tokens
    When a caller streams a prompt of 500 tokens with at most 10 output tokens
    Then it is rejected with 503, and its log names memory and the sizes
    And the metrics show 610 tokens reserved on the engine

  Scenario: A node learns from the calls that it forwards
    # Unless the first events and the ends of streams reach the learners, the backlog is
    # never bounded and each call reserves its maximum.
    Given a fleet with engines of 100000 tokens and priority_admission on
    When a caller streams 20 prompts of 3000 tokens with at most 40 output tokens
    Then the metrics show the prefill rate of the pool
    # The streams have six events: five full ones hold at most 40 tokens, so six at most 48.
    And a further call is expected to produce 48 output tokens of at most 900

  Scenario: A node learns no prefill rate from streams that go on
    # A runner that still has the work sends the next event without a prefill, and the rate
    # learned from it would be many times too high.
    Given a fleet with engines of 100000 tokens and priority_admission on
    When a caller resumes 20 streams with prompts of 3000 tokens after their first event
    Then the metrics show no prefill rate

Feature: Prefill rate and output are learned from answered calls

  Scenario: The prefill rate is a high quantile of the calls with long prompts
    # Most calls wait behind others: their mean shows the load of the engines, not the rate.
    When 19 calls with 4000 tokens to process get their first event after 400 ms
    Then the prefill rate is unknown
    When 5 calls with 4000 tokens to process get their first event after 80 ms
    Then the prefill rate is 50 tokens per ms

  Scenario: Short prompts say nothing about the prefill rate
    When 30 calls with 2999 tokens to process get their first event after 40 ms
    Then the prefill rate is unknown

  Scenario: Nodes learn the prefill rate together
    # A node alone forwards 20 long prompts that are not cached in minutes.
    Given 10 nodes that gossip
    When each has 1 call with 4000 tokens to process and its first event after 80 ms
    Then they do not know the prefill rate
    When each has 3 calls with 4000 tokens to process and its first event after 80 ms
    Then all know a prefill rate of 50 tokens per ms

  Scenario: A node's own calls count more than the mean of the fleet
    Given 10 nodes that gossip
    When each has 9 calls with 4000 tokens to process and its first event after 80 ms
    And the first node has 60 calls with 4000 tokens and its first event after 40 ms
    Then the first node knows a prefill rate of 100 tokens per ms

  Scenario: The caller's maximum counts until the output of a route is known
    # A reservation that is too small lets an engine run out of memory.
    When 19 calls of "advice" with a maximum of 100 tokens are answered with 3 events
    Then a call of "advice" with a maximum of 100 tokens is expected to produce 100
    And a call of "advice" without a maximum is expected to produce 0

  Scenario: Calls that run to their maximum show how many tokens an event holds
    # Events hold 10 tokens here; the fleet only sees their number.
    When 20 calls of "tag" with a maximum of 200 tokens are answered with 20 events
    And 20 calls of "advice" with a maximum of 4000 tokens are answered with 38 events
    Then a call of "advice" with a maximum of 4000 tokens is expected to produce 400
    And a call of "advice" with a maximum of 300 tokens is expected to produce 300
    And a call of "advice" without a maximum is expected to produce 400

  Scenario: The expected output is never below the mean of the true one
    # Outputs below the expectation waste memory, outputs above it overfill the engine.
    Then the expectation is no less than the mean for any tokens per event and outputs

  Scenario: The tokens of an event are the lowest bound of the routes known now
    # A bound that outlives the calls that showed it makes every reservation too small.
    Then the expectation uses the lowest bound among the routes after any answers

  Scenario: Streams without a maximum show nothing
    When 40 calls of "advice" without a maximum are answered with 38 events
    Then a call of "advice" with a maximum of 100 tokens is expected to produce 100

  Scenario: A caller states a maximum that no float can hold
    # The division raised OverflowError at the end of a stream that was answered.
    When 40 calls of "advice" with a maximum of 400 digits are answered with 2 events
    Then a call of "advice" with a maximum of 100 tokens is expected to produce 100

  Scenario: A full table keeps what it has learned while the routes stay the same
    # A table that is cleared at each answer of a known route never learns any output.
    Given a table of outputs that is full with known routes
    When a known route is answered once more
    Then the outputs of all routes in the table are still known

Feature: Short prompts leave room for long ones on the runner that has them cached

  Scenario: Short calls do not fill a runner that has a long prompt cached
    # Most slots of a pool are held by short calls that generate for seconds. If all calls
    # had the same load bound, long prompts of 9,000 tokens, whose responses are short,
    # would find the runner full and be computed again elsewhere.
    Given a runner with a mean load of 8 and a load cap of 2 times the mean
    When calls of 700 tokens arrive until one is rejected
    Then there is room for 4 calls of 9000 tokens
    And the runner has at most 2 times the mean, and 3 more

  Scenario: Calls without a prompt
    Given a runner with a mean load of 8 and a load cap of 2 times the mean
    Then a call without a prompt is accepted while 14 others are there

  Scenario: The longer the prompt, the higher its load bound
    Then the shares of the cap for prompts of 100, 1500, 2400, 3000 and 20000 tokens rise

  Scenario: A load surge at a small pool without prompts
    # Three runners with six slots each get calls of 60 ms at twice the usual rate for
    # 2.4 s: 260 calls a second, where 300 are possible. If a runner is never given more
    # calls than it has slots, each slot is empty while a release and the next grant travel,
    # and 6 to 8 in 100 calls are refused after waiting 0.4 s for one runner while others
    # have a free slot.
    When such a surge meets runners that get no more calls than they have slots
    Then more than 5 in 100 calls find no room
    When it meets runners that may have as many calls again in their queues
    Then fewer than 1 in 100 calls find no room
    And 95 in 100 calls wait less than 120 ms

Feature: Which calls give way to keep long prompts with their runner

  Scenario: Short calls fill a runner that holds a long prompt
    # Pattern: a pool whose slots are mostly held by short calls that generate for
    #   seconds, beside long prompts that are answered soon.
    # Symptom: chapters of 9,000 tokens are read again at other runners.
    # Cause: whoever came when the bound was reached had to go elsewhere.
    Given a runner with a mean load of 8 under a cap of 2 times it
    When calls of 700 tokens come until one is turned away
    Then there is room for 4 calls of 9000 tokens
    And the runner holds at most 2 times the mean, and 3 more

  Scenario: Calls without a prompt
    Given a runner with a mean load of 8 under a cap of 2 times it
    Then a call without a prompt may find 14 others there

  Scenario: The longer the prompt, the later it gives way
    Then the shares of the cap for prompts of 100, 1500, 2400, 3000 and 20000 tokens rise

  Scenario: A surge at a small pool of plain services
    # Pattern: three runners of six slots, calls of 60 ms, twice their usual number for
    #   2.4 s: 260 calls a second where 300 can be done.
    # Symptom: 6 to 8 in 100 calls are refused after waiting 0.4 s for one runner, while
    #   others have a slot free in between.
    # Cause: no more than its slots was ever given to a runner, so each slot stood empty
    #   for the way of a release and of the next grant.
    When such a surge meets runners that are given their slots alone
    Then more than 5 in 100 calls find no room
    When it meets runners that may hold as many calls in their queues
    Then fewer than 1 in 100 calls find no room
    And 95 in 100 calls wait less than 120 ms

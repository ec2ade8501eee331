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

Feature: Mean load by averaging with random peers

  Scenario: All nodes come near the true mean
    Given 137 nodes with loads from 0 to 16 and one runner each
    When 12 rounds of exchanges have passed
    Then every estimate is within 15 percent of the true mean

  Scenario: Lost replies
    # Symptom: the bound drifts away from the load over hours.
    # Sequence: one in five replies is lost, so one side moves and the other does not.
    # Cause: averaging conserves sums only if both sides move; the leak heals it.
    Given 137 nodes with loads from 0 to 16 and one runner each
    When 400 rounds have passed in which one reply in 5 is lost
    Then every estimate is within 25 percent of the true mean

  Scenario: A home's own grants do not raise its own bound
    # Symptom: a hot runner never refuses and holds 13 slots too many.
    # Sequence: a burst of grants at one home between two exchanges.
    # Cause: the home read its own share, in which its grants stand undiluted.
    Given 137 nodes with loads from 0 to 16 and one runner each
    When 12 rounds of exchanges have passed
    And one home grants 20 slots in a burst
    Then that home's estimate has not moved

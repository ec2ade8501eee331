Feature: Mean load by averaging with random peers

  Scenario: All estimates converge to the true mean
    Given 137 nodes with loads from 0 to 16 and one runner each
    When 12 rounds of exchanges have passed
    Then every estimate is within 15 percent of the true mean

  Scenario: Lost replies
    # Averaging conserves sums only if both sides move: with one reply in five lost, one
    # side moves alone, and without the leak the bound drifts away from the load over hours.
    Given 137 nodes with loads from 0 to 16 and one runner each
    When 400 rounds have passed in which one reply in 5 is lost
    Then every estimate is within 25 percent of the true mean

  Scenario: A home's own grants do not raise its own bound
    # A home grants a burst of slots between two exchanges: if it read its own share, which
    # holds these grants undiluted, an overloaded runner would never refuse and would hold
    # 13 slots too many.
    Given 137 nodes with loads from 0 to 16 and one runner each
    When 12 rounds of exchanges have passed
    And one home grants 20 slots in a burst
    Then that home's estimate is unchanged

  Scenario: A pool is removed while a reply is in transit
    # The reply must not create the pool's share again: it would be sent in every later
    # message, and pools that come and go would add up.
    Given 2 nodes with loads from 0 to 16 and one runner each
    When a node removes the pool between its push and the reply
    Then that node holds no share and no estimate of the pool
    But the other node still holds its share

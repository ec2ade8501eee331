Feature: Search for a slot

  Scenario: Estimates of the mean load lag during a surge
    # The load doubles within a second and the homes still use the old mean: requests are
    # refused although runners have free slots.
    Given a search over 12 runners that all refuse with loads from 5 to 16
    When the search has requested a slot on 8 of them
    Then it sends a last-resort request to the least loaded with the mean of those loads
    And then the search is over

  Scenario: Homes that do not reply
    # A home has died and requests to it time out one after another: a search that goes on
    # through all runners delays every chat.
    Given a search over 12 runners whose homes do not reply
    When the search has requested a slot on 2 of them
    Then the search is over
    And it falls back to the one with the lower last known load

  Scenario: One runner is paused and the others are at their bound
    # The paused runner has the lowest load as it gets no calls: a last-resort request by
    # load alone goes to the runner that was just paused for its failures.
    Given a search over 3 runners, the first paused and the others with a load of 9
    When the search has requested a slot on 3 of them
    Then it sends a last-resort request to one that is not paused, with a mean of 6

  Scenario: Most runners are paused and the few others are at their bound
    # Most runners are paused as a third of the answers are lost, so all chats go to the
    # few others: last-resort requests that carry the mean of the busy runners alone raise
    # those bounds further each time, to over four times the mean of the pool for seconds.
    Given a search over 8 runners, 6 paused with a load of 1 and the others with a load of 9
    When the search has requested a slot on 8 of them
    Then it sends a last-resort request to one that is not paused, with a mean of 3
    And after a refusal it sends one to a paused runner, with a mean of 3
    And then the search is over

  Scenario: All runners are paused
    Given a search over 3 paused runners
    When the search has requested a slot on 3 of them
    Then it still sends a request that is marked as last-resort

Feature: Cold runners get no more than they bear

  A runner bears 4 calls a second while it is cold; it ends at half as much again and five
  calls more.

  Scenario: A surge meets runners that have just started
    # Symptom: runners end a second after their start, with all calls on them.
    # Sequence: two runners start during a surge; each gets its share of all calls.
    # Cause: slots were counted, and not the calls of a second.
    Given a fleet of 2 nodes and 3 runners, of which 2 have just started
    When 120 calls come within a second
    Then no runner has ended
    And a cold runner got no more than 5 calls in any second
    And most of the calls are answered

  Scenario: All runners of a pool are cold
    # Symptom: all runners of a pool end one after the other, again and again.
    # Sequence: a release or a zone's return leaves only cold runners; everybody comes.
    # Cause: the last ask of a search was granted whatever the runner bore.
    Given a fleet of 1 node and 2 runners, of which 2 have just started
    When 60 calls come within a second
    Then no runner has ended
    And those that are refused have not run and are told when to return

  Scenario: A cold runner's home does not answer
    # Symptom: a cold runner ends though its home counts well.
    # Sequence: the home hangs; each node sends there on its own after 25 ms.
    # Cause: the last choice without a home did not look whether the runner is cold.
    Given a fleet of 2 nodes and 1 runner, of which 1 has just started
    When the runner's home falls silent and 40 calls come at the other node
    Then no runner has ended

  Scenario: An operator asks why a chat was sent elsewhere
    Given a fleet of 1 node and 2 runners, of which 1 have just started
    When 30 calls come within a second
    Then the decision on one of them names the cold runner that was passed over

  Scenario: A runner turns warm
    Given a fleet of 1 node and 2 runners, of which 2 have just started
    When the runners say that they are warm
    And 60 calls come within a second
    Then most of the calls are answered

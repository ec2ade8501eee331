Feature: Requests under which runners have ended

  Scenario: A request ends one runner after the other
    Given no runner has ended yet
    When runner a ends at 100 ms with a copy of "bad" that was sent at 50 ms
    And runner b ends at 1100 ms with a copy of "bad" that was sent at 1000 ms
    Then "bad" is suspected and not refused at 1200 ms
    When runner c ends at 2100 ms with a copy of "bad" that was sent at 2000 ms
    Then "bad" is refused at 2200 ms

  Scenario: The report of a second send is quicker than that of the first
    # Symptom: now and then a request ends a fourth runner (2 of 24 plays of three nodes
    #   on a busy machine).
    # Sequence: a call breaks at one runner and is sent to the next within a millisecond;
    #   the report of the first end takes a few milliseconds more to its home.
    # Cause: by the home's clock the second copy was sent before the first runner's end.
    Given no runner has ended yet
    When runner a ends at 112 ms with a copy of "bad" that was sent at 52 ms
    And runner b ends at 162 ms with a copy of "bad" that was sent at 103 ms
    Then "bad" is suspected and not refused at 200 ms

  Scenario: A refusal ends, and one more end begins it anew
    Given no runner has ended yet
    When runners a, b, c end under "bad", the last at 2100 ms
    Then "bad" is refused at 302000 ms
    And "bad" is suspected and not refused at 302200 ms
    When runner d ends at 303000 ms with a copy of "bad" that was sent at 302900 ms
    Then "bad" is refused at 600000 ms

  Scenario: A rack takes several runners at once
    # Symptom: a caller is refused for minutes after a rack has lost its power.
    # Sequence: copies of a lookup stand on three runners, which end together; it comes
    #   again, and the next day the same.
    # Cause: each runner was counted, though one cause took all of them.
    Given no runner has ended yet
    When runner a ends at 1000 ms with a copy of "lookup" that was sent at 900 ms
    And runner b ends at 1010 ms with a copy of "lookup" that was sent at 920 ms
    And runner c ends at 1300 ms with a copy of "lookup" that was sent at 940 ms
    Then "lookup" is neither suspected nor refused at 1400 ms

  Scenario: A rack takes several runners, and copies were sent just before
    # What was sent within the time by which reports may be mistaken counts as sent
    # after: such a request may be suspected, and must not be refused for it.
    Given no runner has ended yet
    When runner a ends at 1000 ms with a copy of "lookup" that was sent at 900 ms
    And runner b ends at 1010 ms with a copy of "lookup" that was sent at 950 ms
    And runner c ends at 1300 ms with a copy of "lookup" that was sent at 990 ms
    Then "lookup" is suspected and not refused at 1400 ms

  Scenario: Several nodes report one runner's end
    Given no runner has ended yet
    When runner a ends at 1000 ms with a copy of "stream" that was sent at 900 ms
    And runner a ends at 1001 ms with a copy of "stream" that was sent at 1000 ms
    And runner a ends at 1002 ms with a copy of "stream" that was sent at 1001 ms
    Then "stream" is neither suspected nor refused at 1400 ms

  Scenario: A request that was beside two ends is answered
    # Symptom: a request that nothing is wrong with is refused after its third mishap.
    # Sequence: it stands on two runners that end, is answered by a third, and stands on
    #   one more that ends later.
    # Cause: ends were counted without end.
    Given no runner has ended yet
    When runners a, b end under "lucky", the last at 1100 ms
    And "lucky" is answered at 1500 ms
    And runner c ends at 2100 ms with a copy of "lucky" that was sent at 2000 ms
    Then "lucky" is neither suspected nor refused at 2200 ms

  Scenario: Late news of a request that was cleared
    Given no runner has ended yet
    When runners a, b end under "lucky", the last at 1100 ms
    And "lucky" is answered at 1500 ms
    And a peer tells late that "lucky" ended a, b, c, the last at 1200 ms
    Then "lucky" is neither suspected nor refused at 2200 ms

  Scenario: A request that ends more runners explains the ends of those beside it
    # Symptom: callers who had bad luck are refused with the one who caused it.
    # Sequence: a chat stands on two runners that a request of another caller ends, and
    #   later on one that ends for a reason of its own.
    # Cause: what another one explains went on to count.
    Given no runner has ended yet
    When runners a, b, d end under "beside", the last at 1900 ms
    And runners a, b, c, e end under "bad", the last at 2100 ms
    Then "bad" is refused at 2200 ms
    And "beside" is suspected and not refused at 2200 ms

  Scenario: Two requests stand beside each other each time
    # Symptom: a caller's chat is refused with the request that ended its runners.
    # Sequence: both have the same beginning of their prompts, and go to the same runner,
    #   twice; the chat's third copy is on its way when the other one has ended a third.
    # Cause: neither is told from the other before one of them is answered.
    Given no runner has ended yet
    When runners a, b end under "chat", the last at 1100 ms
    And runners a, b, c end under "bad", the last at 2100 ms
    Then "bad" is suspected and not refused at 2200 ms
    When "chat" is answered at 2500 ms
    Then "bad" is refused at 2600 ms

  Scenario: Two requests stand beside each other, and one ends a fourth runner
    Given no runner has ended yet
    When runners a, b, c end under "chat", the last at 2100 ms
    And runners a, b, c, d end under "bad", the last at 3100 ms
    Then "bad" is refused at 3200 ms
    And "chat" is suspected and not refused at 3200 ms

  Scenario: A request that is tried again every five minutes, and one beside it each time
    # Symptom: a chat is refused with the request that it stood beside four times.
    # Sequence: the one is let through for one more try after each refusal, and ends one
    #   more runner.
    # Cause: four ends were taken for proof, though another request explains all of them.
    Given no runner has ended yet
    When runners a, b, c, d, e end under "bad", the last at 2100 ms
    And runners b, c, d, e end under "chat", the last at 2100 ms
    Then "bad" is refused at 2200 ms
    And "chat" is suspected and not refused at 2200 ms

  Scenario: A request with bad luck is taken for the cause
    # Symptom: a request goes on ending runners though three have ended under it.
    # Sequence: a chat stands beside it twice, and once where another runner ends; the
    #   chat is refused; then what both had met was taken off the request's record.
    # Cause: a wrong verdict wiped out what the right one rests on.
    Given no runner has ended yet
    When runners a, b end under "bad", the last at 1100 ms
    And runners a, b, x end under "chat", the last at 1900 ms
    And runner c ends at 2100 ms with a copy of "bad" that was sent at 2000 ms
    And runner d ends at 3100 ms with a copy of "bad" that was sent at 3000 ms
    Then "bad" is refused at 3200 ms
    And "chat" is suspected and not refused at 3200 ms

  Scenario: Two requests that end their runners, each once beside the other
    Given no runner has ended yet
    When runners a, b, c, d end under "bad", the last at 2100 ms
    And runners a, e, f, g end under "worse", the last at 3100 ms
    Then "bad" is refused at 3200 ms
    And "worse" is refused at 3200 ms

  Scenario: A node that starts takes over what is refused
    Given no runner has ended yet
    When a peer tells late that "bad" ended a, b, c, the last at 2100 ms
    Then "bad" is refused at 2200 ms

  Scenario: Ends are forgotten
    Given no runner has ended yet
    When runners a, b, c end under "bad", the last at 2100 ms
    And old records are dropped at 602200 ms
    Then nothing is known any more

  Scenario: More requests than a node remembers
    # Symptom: a node's memory grows with each common kill.
    # Cause: each call that stood on a runner was remembered.
    Given no runner has ended yet
    When runners a, b, c end under "bad", the last at 2100 ms
    And runners end with 3000 other requests on them
    Then 2048 requests are known
    And "bad" is refused at 2200 ms

Feature: Choice of runners, and how long calls wait for them

  Scenario: A runner reads a long prompt
    # A prompt of 30000 tokens takes 0.7 s to read. If the timeout were a share of the
    # objective whatever the prompt, the node would abandon the runner before, and a sixth
    # of the streams would have their prompt read by two runners.
    Given a resumable stream with an objective of 1200 ms
    Then a prompt of 30000 tokens has a timeout above 1400 ms
    And a prompt of 300 tokens has a timeout of at most 300 ms

  Scenario: A second runner could not answer in time
    # The objective is 400 ms, prompts have 2,400 tokens, and the pool takes 100 ms and more
    # to the first event. If the first runner were abandoned after 370 ms, the second could
    # only be late as well; in a surge every short stream would be read by two runners.
    Given a resumable stream with an objective of 400 ms
    Then a prompt of 2400 tokens has a timeout above 799 ms
    Given a resumable stream with an objective of 500 ms
    Then a prompt of 2400 tokens has a timeout of at most 370 ms
    When the pool has slowed down to 180 ms to the first event
    Then a prompt of 2400 tokens has a timeout above 999 ms

  Scenario: A non-repeatable call waits until its deadline
    Given a stream that may not be resumed, with a limit of 10000 ms
    Then a prompt of 300 tokens has a timeout above 9999 ms

  Scenario: All runners are quarantined
    # All runners refuse connections once and recover at once. If quarantined runners were
    # never tried, even with no other left, all calls would be refused for half a second.
    Given a pool of the runners a, b, c
    When each of them refuses a connection at 1000 ms
    Then calls are routed to all of them

  Scenario: A quarantine expires
    Given a pool of the runners a, b, c
    When "a" refuses a connection at 1000 ms
    Then calls are routed to all but "a"
    When expired quarantines are ended at 1600 ms
    Then calls are routed to all of them
    When "a" refuses a connection at 1700 ms
    And expired quarantines are ended at 2300 ms
    Then calls are routed to all but "a"

  Scenario: A runner fails part of its calls while its status check passes
    # A runner fails 4 calls in 10 and affinity keeps sending calls there. If only failed
    # connections led to a quarantine, its chats would fail repeatedly.
    Given a pool of the runners a, b, c
    When "a" answers calls at 1000 ms as "ok, failed, ok, failed"
    Then calls are routed to all but "a"

  Scenario: Calls that a silent runner has got time out one after the other
    # Each of them would double the quarantine that the first connections led to, and the
    # runner would be out of use for seconds after it goes on.
    Given a pool of the runners a, b, c
    When "a" refuses a connection at 1000 ms
    And "a" answers calls at 1350 ms as "lost, lost, lost, lost"
    And expired quarantines are ended at 1600 ms
    Then calls are routed to all of them

  Scenario: A service that fails a seventh of some calls is not quarantined
    Given a pool of the runners a, b, c
    When "a" answers calls at 1000 ms as "ok, ok, ok, ok, ok, ok, failed, ok, ok, ok, ok, ok, ok, failed"
    Then calls are routed to all of them

  Scenario: A leaving runner still has its prompts cached
    # The keys of a leaving runner go to others that have none of its prompts. If these did
    # not fetch them from the leaving runner, each release would compute every shared prompt
    # again.
    Given a pool of the runners a, b, c
    When the first runner of a key leaves
    Then it gets no calls but is still the key's likeliest holder

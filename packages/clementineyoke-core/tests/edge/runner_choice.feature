Feature: Which runners get calls, and how long they are waited for

  Scenario: A long prompt is being read
    # Symptom: a sixth of the streams read their prompt at two runners.
    # Sequence: a prompt of 30000 tokens takes 0.7 s to read; the node gives up before.
    # Cause: the waiting time was a share of the objective, whatever the prompt.
    Given a resumable stream with an objective of 1200 ms
    Then a prompt of 30000 tokens is waited for longer than 1400 ms
    And a prompt of 300 tokens is waited for at most 300 ms

  Scenario: A second runner could not answer in time
    # Symptom: in a surge every short stream is cut at two runners and read at both.
    # Pattern: an objective of 400 ms, prompts of 2,400 tokens, and a pool that takes
    #   100 ms and more to the first event.
    # Cause: the first runner was given up on after 370 ms, when the second one could
    #   only be late as well.
    Given a resumable stream with an objective of 400 ms
    Then a prompt of 2400 tokens is waited for longer than 799 ms
    Given a resumable stream with an objective of 500 ms
    Then a prompt of 2400 tokens is waited for at most 370 ms
    When the pool has become as slow as 180 ms to the first event
    Then a prompt of 2400 tokens is waited for longer than 999 ms

  Scenario: A call that may not be repeated waits for all of its time
    Given a stream that may not be resumed, with a limit of 10000 ms
    Then a prompt of 300 tokens is waited for longer than 9999 ms

  Scenario: All runners have failed lately
    # Symptom: every call is refused for half a second after a short fault of all.
    # Sequence: all runners refuse connections once and come back at once.
    # Cause: quarantined runners were never tried, even with none else left.
    Given a pool of the runners a, b, c
    When each of them fails to take a connection at 1000 ms
    Then calls still find all of them

  Scenario: A quarantine ends by itself
    Given a pool of the runners a, b, c
    When "a" fails to take a connection at 1000 ms
    Then calls find all but "a"
    When quarantines are looked at 1600 ms
    Then calls still find all of them
    When "a" fails to take a connection at 1700 ms
    And quarantines are looked at 2300 ms
    Then calls find all but "a"

  Scenario: A runner fails part of its calls while its status check is good
    # Symptom: chats of one runner fail again and again.
    # Sequence: a runner answers 4 calls in 10 with a failure; affinity goes on there.
    # Cause: only connections that failed took a runner out.
    Given a pool of the runners a, b, c
    When "a" answers calls at 1000 ms as "ok, failed, ok, failed"
    Then calls find all but "a"

  Scenario: A service that fails a seventh of some calls is not taken out
    Given a pool of the runners a, b, c
    When "a" answers calls at 1000 ms as "ok, ok, ok, ok, ok, ok, failed, ok, ok, ok, ok, ok, ok, failed"
    Then calls still find all of them

  Scenario: A leaving runner still holds what it cached
    # Symptom: each release reads every shared prompt again.
    # Sequence: a runner leaves; its keys go to others, which hold nothing of them.
    # Cause: nobody asked the leaving runner for its caches.
    Given a pool of the runners a, b, c
    When the first runner of a key leaves
    Then it is no longer found for calls but still the key's likeliest holder

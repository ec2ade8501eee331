Feature: Run-once claims of one shard

  Scenario: A paused home wakes up
    # Symptom: one score counted twice.
    # Sequence: home 1 reads, pauses; home 2 claims the key and its holder runs; home 1
    #   wakes and claims the same key for the caller's repeat.
    # Cause: home 1 still believes the key free; the version must refuse its write.
    Given an empty shard and two homes that have read it
    When home 2 claims "score-1" for holder B
    And home 1 tries to claim "score-1" for holder A
    Then the write of home 1 is refused
    And after reading again home 1 tells holder A unknown

  Scenario: The reply of a claim's write is lost
    # Symptom: a caller is told "not run", and its repeat is refused for minutes.
    # Sequence: the write takes effect, the connection breaks, the home reads again.
    # Cause: without the holder's name in the record the home cannot know its own claim.
    Given an empty shard and two homes that have read it
    When home 1 claims "score-1" for holder A and loses the reply
    Then after reading again home 1 tells holder A granted

  Scenario: A repeat gets the kept answer, even before it is durable
    Given an empty shard and two homes that have read it
    When home 1 claims "score-1" for holder A
    And holder A reports at home 1 that it ran with answer "42"
    Then home 1 tells holder B answered with "42"

  Scenario: A holder that gave up frees its key
    # Symptom: a caller told "not run" repeats and gets "unknown" until the key expires.
    # Sequence: the holder waits in vain, gives up; its ask becomes durable all the same.
    # Cause: a batch that took the ask and not the report left a record behind.
    Given an empty shard and two homes that have read it
    When home 1 writes at once that A asks for and gives up "score-1"
    Then home 1 has no claim on "score-1"

  Scenario: The same key for another request
    Given an empty shard and two homes that have read it
    When home 1 claims "score-1" for holder A
    Then home 1 tells holder B with another request mismatch

  Scenario: A late report of an expired claim
    # Symptom: a key's second holder finds its claim finished with another's answer.
    # Sequence: A claims, its claim expires, B claims the key, A's report arrives.
    # Cause: a report that is matched by key alone.
    Given an empty shard and two homes that have read it
    When home 1 claims "score-1" for holder A
    And the claim expires and home 1 claims "score-1" for holder B
    And holder A reports at home 1 that it ran with answer "42"
    Then home 1 tells holder C unknown

  Scenario: A paused home wakes up after the shard has rolled on
    # Symptom: one score counted twice.
    # Sequence: home 1 reads segment 0 and pauses; home 2 rolls on to segment 1 and
    #   claims there; home 1 wakes and claims the same key in segment 0.
    # Cause: nobody writes to segment 0 any more, so its version alone would not tell.
    Given an empty shard and two homes that have read it
    When home 2 claims "first" for holder F
    And home 2 rolls on to the next segment
    And home 1 tries to claim "score-1" for holder A
    Then the write of home 1 is refused
    And after reading again home 1 knows no claim of holder A

  Scenario: A key claimed in an earlier segment stays taken
    Given an empty shard and two homes that have read it
    When home 1 claims "score-1" for holder A
    And home 1 rolls on to the next segment
    Then home 1 tells holder B unknown
    And after reading again home 2 tells holder B unknown

  Scenario: The ring of segments is full
    # Symptom: the platform refuses values over a megabyte, and no call runs any more.
    # Sequence: more claims come within the keep time than the ring can hold.
    # Cause: without a bound the open segment would grow on.
    Given an empty shard and two homes that have read it
    When claims of 350000 bytes fill every segment of home 1
    Then home 1 tells holder X of "yet-another" unavailable
    And after the keep time home 1 grants again

  Scenario: Random walks over the roll
    Given an empty shard and two homes that have read it
    When 500 random walks of two homes claim, pause, lose replies and roll on
    Then no key was ever granted to two holders
    And every kind of write, refusals and lost replies came about

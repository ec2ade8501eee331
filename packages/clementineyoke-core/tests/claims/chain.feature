Feature: Run-once claims of one shard

  Scenario: A paused home resumes
    # Home 1 reads the shard and pauses, home 2 claims the key and its holder runs. Home 1
    # resumes, still sees the key as free and claims it for the caller's repeat: one score is
    # counted twice unless the object version refuses the write.
    Given an empty shard and two homes that have read it
    When home 2 claims "score-1" for holder B
    And home 1 tries to claim "score-1" for holder A
    Then the write of home 1 is refused
    And after reading again home 1 answers holder A with unknown

  Scenario: The reply to the write of a claim is lost
    # The write takes effect, the connection breaks and the home reads again: without the
    # holder's name in the record it cannot identify its own claim, so the caller is told "not
    # run" and its repeat is refused for minutes.
    Given an empty shard and two homes that have read it
    When home 1 claims "score-1" for holder A and the reply is lost
    Then after reading again home 1 answers holder A with granted

  Scenario: A repeat gets the stored answer, even before it is durable
    Given an empty shard and two homes that have read it
    When home 1 claims "score-1" for holder A
    And holder A reports at home 1 that it ran with answer "42"
    Then home 1 gives holder B the stored answer "42"

  Scenario: A holder that gave up frees its key
    # The holder times out and gives up, but its claim becomes durable: if a batch writes the
    # claim without the report, a caller that was told "not run" gets "unknown" for its repeat
    # until the key expires.
    Given an empty shard and two homes that have read it
    When home 1 writes both that A claims and that it gives up "score-1"
    Then home 1 has no claim on "score-1"

  Scenario: The same key for another request
    Given an empty shard and two homes that have read it
    When home 1 claims "score-1" for holder A
    Then home 1 answers holder B of another request with mismatch

  Scenario: A late report on an expired claim
    # A's claim expires, B claims the key, then A's report arrives: a report that is matched
    # by key alone finishes B's claim with A's answer.
    Given an empty shard and two homes that have read it
    When home 1 claims "score-1" for holder A
    And the claim expires and home 1 claims "score-1" for holder B
    And holder A reports at home 1 that it ran with answer "42"
    Then home 1 answers holder C with unknown

  Scenario: A paused home resumes after the shard has moved on
    # Home 1 reads segment 0 and pauses, home 2 moves on to segment 1 and claims the key
    # there. Home 1 resumes and claims the same key in segment 0, which nobody else writes any
    # more, so without a seal its version would still match: one score is counted twice.
    Given an empty shard and two homes that have read it
    When home 2 claims "first" for holder F
    And home 2 moves on to the next segment
    And home 1 tries to claim "score-1" for holder A
    Then the write of home 1 is refused
    And after reading again home 1 has no claim of holder A

  Scenario: A key claimed in an earlier segment stays claimed
    Given an empty shard and two homes that have read it
    When home 1 claims "score-1" for holder A
    And home 1 moves on to the next segment
    Then home 1 answers holder B with unknown
    And after reading again home 2 answers holder B with unknown

  Scenario: The ring of segments is full
    # More claims arrive within the retention time than fit into the ring: without a limit the
    # open segment grows until the platform refuses it for being over a megabyte, and no call
    # runs any more.
    Given an empty shard and two homes that have read it
    When claims of 350000 bytes fill every segment of home 1
    Then home 1 answers a claim of "yet-another" by holder X with unavailable
    And after the retention time home 1 grants again

  Scenario: Random walks with changes of segments
    Given an empty shard and two homes that have read it
    When 500 random walks of two homes claim, pause, lose replies and move on
    Then no key was ever granted to two holders
    And every kind of write, refusals and lost replies occurred

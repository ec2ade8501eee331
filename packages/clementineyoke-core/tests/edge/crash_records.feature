Feature: Requests that were running on crashed runners

  Scenario: A request crashes one runner after the other
    Given no runner has crashed yet
    When runner a crashes at 100 ms with a copy of "bad" that was sent at 50 ms
    And runner b crashes at 1100 ms with a copy of "bad" that was sent at 1000 ms
    Then "bad" is suspected and not refused at 1200 ms
    When runner c crashes at 2100 ms with a copy of "bad" that was sent at 2000 ms
    Then "bad" is refused at 2200 ms

  Scenario: The report of the first crash takes longer than that of the second
    # The call is sent to the second runner within a millisecond of the first crash, whose
    # report takes a few milliseconds more to reach its home node. By the home node's clock
    # the second copy was sent before the first crash. If its crash did not count for that
    # reason, the request would sometimes crash a fourth runner (2 of 24 runs of three nodes
    # on a busy machine).
    Given no runner has crashed yet
    When runner a crashes at 112 ms with a copy of "bad" that was sent at 52 ms
    And runner b crashes at 162 ms with a copy of "bad" that was sent at 103 ms
    Then "bad" is suspected and not refused at 200 ms

  Scenario: A refusal expires, and one more crash renews it
    Given no runner has crashed yet
    When runners a, b, c crash while running "bad", the last at 2100 ms
    Then "bad" is refused at 302000 ms
    And "bad" is suspected and not refused at 302200 ms
    When runner d crashes at 303000 ms with a copy of "bad" that was sent at 302900 ms
    Then "bad" is refused at 600000 ms

  Scenario: A rack failure takes several runners at once
    # Copies of one lookup run on three runners that fail together. If each runner counted,
    # the caller would be refused for minutes after a rack has lost its power.
    Given no runner has crashed yet
    When runner a crashes at 1000 ms with a copy of "lookup" that was sent at 900 ms
    And runner b crashes at 1010 ms with a copy of "lookup" that was sent at 920 ms
    And runner c crashes at 1300 ms with a copy of "lookup" that was sent at 940 ms
    Then "lookup" is neither suspected nor refused at 1400 ms

  Scenario: A rack failure takes several runners that were just sent copies
    # Copies sent within the tolerance for report delays count as sent after the previous
    # crash. Such a request may be suspected, but must not be refused.
    Given no runner has crashed yet
    When runner a crashes at 1000 ms with a copy of "lookup" that was sent at 900 ms
    And runner b crashes at 1010 ms with a copy of "lookup" that was sent at 950 ms
    And runner c crashes at 1300 ms with a copy of "lookup" that was sent at 990 ms
    Then "lookup" is suspected and not refused at 1400 ms

  Scenario: Several nodes report one runner's crash
    Given no runner has crashed yet
    When runner a crashes at 1000 ms with a copy of "stream" that was sent at 900 ms
    And runner a crashes at 1001 ms with a copy of "stream" that was sent at 1000 ms
    And runner a crashes at 1002 ms with a copy of "stream" that was sent at 1001 ms
    Then "stream" is neither suspected nor refused at 1400 ms

  Scenario: A request that ran on two crashed runners is answered
    # The third runner answers the request. If its earlier crashes still counted, a harmless
    # request would be refused after one more crash of a runner that it happens to be on.
    Given no runner has crashed yet
    When runners a, b crash while running "harmless", the last at 1100 ms
    And "harmless" is answered at 1500 ms
    And runner c crashes at 2100 ms with a copy of "harmless" that was sent at 2000 ms
    Then "harmless" is neither suspected nor refused at 2200 ms

  Scenario: A late report about a request that was cleared
    Given no runner has crashed yet
    When runners a, b crash while running "harmless", the last at 1100 ms
    And "harmless" is answered at 1500 ms
    And a peer reports late that "harmless" crashed a, b, c, the last at 1200 ms
    Then "harmless" is neither suspected nor refused at 2200 ms

  Scenario: A request with more crashes explains the crashes of requests next to it
    # A chat runs on two runners that another caller's request crashes, and later on one
    # that crashes for another reason. If explained crashes counted, the chat would be
    # refused together with the request that caused them.
    Given no runner has crashed yet
    When runners a, b, d crash while running "chat", the last at 1900 ms
    And runners a, b, c, e crash while running "bad", the last at 2100 ms
    Then "bad" is refused at 2200 ms
    And "chat" is suspected and not refused at 2200 ms

  Scenario: Two requests run on the same runners each time
    # Both have the same prompt prefix and go to the same runner twice. The chat's third copy
    # is in flight when the other request has crashed a third runner. Until one of them is
    # answered they cannot be told apart, so neither is refused.
    Given no runner has crashed yet
    When runners a, b crash while running "chat", the last at 1100 ms
    And runners a, b, c crash while running "bad", the last at 2100 ms
    Then "bad" is suspected and not refused at 2200 ms
    When "chat" is answered at 2500 ms
    Then "bad" is refused at 2600 ms

  Scenario: Two requests run on the same runners, and one crashes a fourth runner
    Given no runner has crashed yet
    When runners a, b, c crash while running "chat", the last at 2100 ms
    And runners a, b, c, d crash while running "bad", the last at 3100 ms
    Then "bad" is refused at 3200 ms
    And "chat" is suspected and not refused at 3200 ms

  Scenario: A request is retried every five minutes, with another one next to it each time
    # After each refusal the request is let through once and crashes one more runner. A chat
    # runs next to it four times. It must not be refused although it has four crashes, as
    # the other request explains all of them.
    Given no runner has crashed yet
    When runners a, b, c, d, e crash while running "bad", the last at 2100 ms
    And runners b, c, d, e crash while running "chat", the last at 2100 ms
    Then "bad" is refused at 2200 ms
    And "chat" is suspected and not refused at 2200 ms

  Scenario: A harmless request is refused first
    # A chat runs next to the crashing request twice, and once on a runner that crashes for
    # another reason, and is refused. If the crashes of both were then removed from the other
    # request's record, that request would go on crashing runners after its third.
    Given no runner has crashed yet
    When runners a, b crash while running "bad", the last at 1100 ms
    And runners a, b, x crash while running "chat", the last at 1900 ms
    And runner c crashes at 2100 ms with a copy of "bad" that was sent at 2000 ms
    And runner d crashes at 3100 ms with a copy of "bad" that was sent at 3000 ms
    Then "bad" is refused at 3200 ms
    And "chat" is suspected and not refused at 3200 ms

  Scenario: Two crashing requests that ran next to each other once
    Given no runner has crashed yet
    When runners a, b, c, d crash while running "bad", the last at 2100 ms
    And runners a, e, f, g crash while running "worse", the last at 3100 ms
    Then "bad" is refused at 3200 ms
    And "worse" is refused at 3200 ms

  Scenario: A node that starts gets the records of a peer
    Given no runner has crashed yet
    When a peer reports late that "bad" crashed a, b, c, the last at 2100 ms
    Then "bad" is refused at 2200 ms

  Scenario: Records expire
    Given no runner has crashed yet
    When runners a, b, c crash while running "bad", the last at 2100 ms
    And expired records are dropped at 602200 ms
    Then there are no records

  Scenario: The number of records is limited
    # If every call on a killed runner were remembered without limit, a node's memory would
    # grow with each kill of many runners.
    Given no runner has crashed yet
    When runners a, b, c crash while running "bad", the last at 2100 ms
    And runners crash with 6000 other requests on them
    Then there are 4096 records
    And "bad" is refused at 2200 ms

  # Below, a call has the request and the parts that are named, and "own-N" is the request
  # of a call that is alike to no other.

  Scenario: Requests that are not alike share a part that crashes runners
    # Counted by the request alone, each has one crash, and a runner crashes for each.
    Given no runner has crashed yet
    When runners a, b, c crash under calls with "first", "bad", the last at 2100 ms
    Then a call with "first", "bad" is refused at 3300 ms
    And a call with "first" is not refused at 3300 ms
    And a call with "first", "other" is not refused at 3300 ms

  Scenario: The records of the parts before a crashing part arrive first
    # Each part has home nodes of its own. A call that lacks the crashing part is refused
    # for the parts before it, if those are judged before it is known.
    Given no runner has crashed yet
    When runners a, b, c crash under calls with "first", "bad", the last at 2100 ms
    And the record of "bad" is lost
    Then a call with "first" is not refused at 2150 ms

  Scenario: The first part of prompts crashes runners
    Given no runner has crashed yet
    When runners a, b, c crash in turn under calls with "bad", "c0" or "bad", "c1" or "bad", "c2", the last at 2100 ms
    Then a call with "bad", "c3" is refused at 3300 ms
    And a call with "other", "c1" is not refused at 3300 ms

  Scenario: A part crashes runners whatever the parts before it are
    # Parts that were seen along with it might explain its crashes.
    Given no runner has crashed yet
    When runners a, b, c, d, e, f crash in turn under calls with "f1", "bad" or "f2", "bad", the last at 2100 ms
    Then a call with "f3", "bad" is refused at 3300 ms
    And a call with "f1" is not refused at 3300 ms
    And a call with "f2" is not refused at 3300 ms

  Scenario: Two parts crash runners at the same time
    # Their calls share the first part, which has more crashes than either of them.
    Given no runner has crashed yet
    When runners a, b, c, d, e crash in turn under calls with "first", "bad" or "first", "worse", the last at 2100 ms
    Then a call with "first", "bad" is refused at 3300 ms
    And a call with "first", "other" is not refused at 3300 ms

  Scenario: A runner crashes for another reason under the first part of a crashing one
    Given no runner has crashed yet
    When runners a, b, c crash under calls with "first", "bad", the last at 2100 ms
    And runners d crash under calls with "first", the last at 2400 ms
    Then a call with "first", "bad" is refused at 3600 ms
    And a call with "first" is not refused at 3600 ms

  Scenario: A popular part is answered between the crashes of its runners
    # Runners crash by chance, again and again. Its homes learn of the answers with the
    # next report of a crash.
    Given no runner has crashed yet
    When runners a, b, c, d, e, f, g, h crash under answered calls with "popular", the last at 2100 ms
    Then a call with "popular" is not refused at 3300 ms

  Scenario: No call with a popular part is answered for a while
    # Most runners of the pool are down, and all of its calls break. It was answered before,
    # so it takes more crashes to hold it responsible.
    Given no runner has crashed yet
    When runners a, b, c, d, e crash under calls with "popular", answered before, the last at 2100 ms
    Then a call with "popular" is not refused at 3300 ms
    When runners f crash under calls with "popular", the last at 3400 ms
    Then a call with "popular" is refused at 4500 ms

  Scenario: A part of one team has the same id as one of another team
    # The id of a part is a caller's claim. A team that crashes runners must not get the
    # calls of other teams refused, nor clear a part that crashes theirs.
    Given no runner has crashed yet
    When runners a, b, c crash under calls with "first", "bad", the last at 2100 ms
    Then a call of another team with "first", "bad" is not refused at 3300 ms
    When a call of another team with "first", "bad" is answered at 2400 ms
    Then a call with "first", "bad" is refused at 3300 ms
    When runner d crashes under a call of another team with "first", "bad" at 3500 ms
    Then a call of a third team with "first", "bad" is refused at 3700 ms

  Scenario: A caller claims thousands of parts, of which one crashes runners
    # Their number is not limited, and a record for each would fill the memory.
    Given no runner has crashed yet
    When runners a, b, c crash under calls of 2000 parts, the last at 2100 ms
    Then there are 4 records
    And a call of 2000 parts is refused at 3300 ms
    And a call with "first" is not refused at 3300 ms

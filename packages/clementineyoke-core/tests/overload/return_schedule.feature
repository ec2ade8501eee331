Feature: The schedule by which rejected calls return

  Scenario Outline: Calls of three priorities are rejected within a second
    # A caller returns once: with a constant Retry-After, all return within a second to a
    # pool that can serve a third of them, and the others are lost.
    Given a schedule drawn with seed <seed>
    When 180 calls of priorities 0, 1 and 2 with 12 s left are rejected within 1 s
    And the pool frees 60 slots per second for the returns
    Then all returns of priority 0 meet a free slot
    And 85 percent of all returns meet a free slot
    And at least twice as many as with a constant Retry-After of 100 ms
    And the median return of each priority is later than that of a more urgent one
    And no 250 ms have more than twice the returns that they can serve

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario Outline: The calls of a surge reach many nodes
    # Nodes plan independently: if each began with the same moments, returns would bunch.
    Given a schedule drawn with seed 1 on each of <nodes> nodes that share the rate
    When 180 calls of priorities 0, 1 and 2 with 12 s left are rejected within 1 s
    And the pool frees 60 slots per second for the returns
    Then all returns of priority 0 meet a free slot
    And 85 percent of all returns meet a free slot
    And no 250 ms have more than twice the returns that they can serve

    Examples:
      | nodes |
      | 4     |
      | 60    |

  Scenario: Calls of one priority are rejected at once
    # Returns that bunch meet no capacity, although there is enough over the whole time.
    Given a schedule drawn with seed 1
    When 60 calls of priority 1 with 12 s left are rejected within 0 s
    Then any 500 ms of the next 3 s have 9 to 11 returns of 20 per second

  Scenario: More calls are rejected than can return in time
    # A longer Retry-After is not honored, and returns at its limit would bunch there.
    Given a schedule drawn with seed 1
    When 300 calls of priority 1 with 3 s left are rejected within 0 s
    Then every Retry-After is between 50 and 1000 ms
    And 19 to 20 of them are not overbooked
    And no 100 ms have more than 80 returns

  Scenario: A call has hardly any time left
    Given a schedule drawn with seed 1
    When 5 calls of priority 0 with 90 ms left are rejected within 0 s
    Then every Retry-After is between 50 and 50 ms

  Scenario: Callers ignore the Retry-After
    # If each repeat counted as a new return, ten callers that repeat at once would push
    # all others beyond the time that these can wait.
    Given a schedule drawn with seed 1
    When 10 calls of priority 1 are rejected 40 times each within 200 ms
    Then a repeat is never told to return before the time that it got first
    And another call of priority 1 returns as early as if they had not repeated
    And another call of priority 0 returns as if they did not exist

  Scenario: Many different calls have the same content
    # The schedule takes them for one call that is repeated, and must not send all of them
    # back at one moment.
    Given a schedule drawn with seed 1
    When 100 calls with the same content and 6 s left are rejected within 0 s
    Then no 100 ms have more than 20 returns

  Scenario: Calls with the content of one that returns later than they can wait
    # All of them were told to return at the end of their time, at one moment.
    Given a schedule drawn with seed 1
    When a call that returns in 2 s or more is rejected
    And 100 calls with the same content and 3 s left are rejected within 0 s
    Then no 100 ms have more than 40 returns

  Scenario: Any rejected call
    # A Retry-After beyond a third of the remaining time is not honored.
    Given a schedule drawn with seed 1
    Then the Retry-After of any call is at least 50 ms and at most a third of its time

  Scenario: A call comes back on time and is rejected again
    Given a schedule drawn with seed 1
    When a call is rejected, and again after its return was due
    Then the second return is at least 50 ms later

  Scenario: The table of returns is bounded
    Given a schedule drawn with seed 1
    When 10000 calls of priority 1 with 60 s left are rejected within 1 s
    Then the schedule remembers 4096 returns
    And it remembers 1 return after one more rejection 60 s later

  Scenario: A node restarts
    # A restart loses the schedule: calls are planned as on a node without rejections.
    Given a schedule drawn with seed 1
    When 180 calls of priorities 0, 1 and 2 with 12 s left are rejected within 1 s
    And the node restarts
    Then another call of priority 2 returns as if they did not exist

  Scenario: A pool is removed
    Given a schedule drawn with seed 1
    When 60 calls of priority 1 with 12 s left are rejected within 0 s
    And the pool is removed and added again
    Then another call of priority 1 returns as if they did not exist

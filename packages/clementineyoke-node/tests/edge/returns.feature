Feature: When rejected calls return, and how long calls wait

  Scenario: A deployment without a return schedule
    # A deployment that did not ask for the feature must be served as before.
    Given a node with return_schedule off
    And a pool that grants 100 slots per second
    And 40 calls were answered after 5000 ms each
    Then a call with 2000 ms left that got no slot gets a Retry-After of 100 to 100 ms
    And a call with an objective of 269 ms and 2000 ms left queues for 400 ms
    And a call with an objective of 269 ms and 90 ms left queues for 90 ms
    And a call with 2000 ms left is tried
    And the home asks no further rules and gossips no further keys

  Scenario Outline: No runner accepts calls
    # The schedule would send callers back to runners that asked for backoff.
    Given a node with return_schedule <setting>
    And a pool that grants 100 slots per second
    When all its runners <state>
    Then a call with 9000 ms left that got no slot gets a Retry-After of <low> to <high> ms

    Examples:
      | setting | state                  | low  | high |
      | off     | drain                  | 1000 | 1000 |
      | on      | drain                  | 1000 | 1000 |
      | off     | are in backoff for 2 s | 2000 | 2400 |
      | on      | are in backoff for 2 s | 2000 | 2400 |

  Scenario: A node that knows no rate
    # Without gossip and homes of its own, a node cannot tell when to return.
    Given a node with return_schedule on
    Then a call with 9000 ms left that got no slot gets a Retry-After of 100 to 100 ms

  Scenario: A node without peers
    # A node that is cut off plans the returns by the grants of its own homes.
    Given a node with return_schedule on
    And a pool that grants 5 slots per second
    When 10 calls with 9000 ms left got no slot
    Then their Retry-After is spread over 1500 to 3000 ms
    And the log gives their rate as that of own_homes
    And the metrics count 10 planned returns of priority 1

  Scenario Outline: Which calls are taken for repeats
    # A repeat counted as a new return moves the returns of others; a different call taken
    # for a repeat takes no part in the plan.
    Given a node with return_schedule on
    And a pool that grants 5 slots per second
    When two calls are rejected whose bodies of 48000 bytes differ <where> and prompts <how>
    Then <count> returns are planned

    Examples:
      | where         | how    | count |
      | nowhere       | agree  | 1     |
      | in the head   | agree  | 2     |
      | in the tail   | agree  | 2     |
      | in the middle | agree  | 1     |
      | nowhere       | differ | 2     |

  Scenario: A node restarts
    # The schedule is lost, and calls are told to return as if none had been rejected.
    Given a node with return_schedule on
    And a pool that grants 5 slots per second
    When 10 calls with 9000 ms left got no slot
    And the node starts again
    And a pool that grants 5 slots per second
    Then a call with 9000 ms left that got no slot gets a Retry-After of 50 to 260 ms

  Scenario: More calls are rejected than can return in time
    # A line for each call would crowd out the lines on the calls themselves.
    Given a node with return_schedule on
    And a pool that grants 5 slots per second
    When 60 calls with 3000 ms left got no slot
    And 60 more calls with 3000 ms left got no slot 1000 ms later
    Then the log has 1 line return_rate_changed and 2 lines returns_overbooked

  Scenario: A node loses its rate and learns it again
    # Operators must see that the Retry-After no longer follows the capacity.
    Given a node with return_schedule on
    When 3 calls with 3000 ms left got no slot
    And a pool that grants 5 slots per second
    And 3 more calls with 3000 ms left got no slot 0 ms later
    And 3 more calls with 3000 ms left got no slot 60000 ms later
    Then the log has 3 lines return_rate_changed and 0 lines returns_overbooked

  Scenario Outline: Queue time
    # Calls queued for up to 400 ms, longer than the objective of the most urgent kind.
    Given a node with return_schedule on
    Then a call with an objective of <objective> ms that arrived <age> ms ago and <before> searched before queues for <queue> ms

    Examples:
      | objective | age  | before | queue |
      | 269       | 0    | was not | 134  |
      | 1045      | 0    | was not | 522  |
      | 269       | 200  | was not | 69   |
      | 269       | 300  | was not | 0    |
      | 269       | 300  | was     | 400  |
      | 0         | 0    | was not | 400  |

  Scenario Outline: Calls that cannot be answered in time
    # Such a call took part in the search and the queue, and then failed all the same.
    Given a node with return_schedule on
    And <answers> calls were answered after <work> ms each
    And 30 calls waited <wait> ms for their slots
    Then a call with 2000 ms left is <result>

    Examples:
      | answers | work | wait | result            |
      | 40      | 2100 | 0    | rejected for work |
      | 40      | 1800 | 300  | rejected for wait |
      | 40      | 1800 | 100  | tried             |
      | 19      | 2100 | 0    | tried             |

  Scenario Outline: Many calls that need more time than they have are rejected at once
    # A constant share of their time sent all of them back at one moment.
    Given a node with return_schedule on
    And 40 calls were answered after 5000 ms each
    When 100 calls with <left> ms left are rejected for work
    Then their Retry-After is between <low> and <high> ms, and no more than <most> are equal

    Examples:
      | left | low | high | most |
      | 3000 | 500 | 1000 | 10   |
      | 90   | 50  | 50   | 100  |
      | 0    | 50  | 50   | 100  |

  Scenario: The rest of a broken stream
    # It takes less work than a whole call of its route, which may be too much.
    Given a node with return_schedule on
    And 40 calls were answered after 5000 ms each
    Then a stream that continues after event 20 with 2000 ms left is tried

  Scenario: A hopeless call is not sent to a runner
    # Status 503 promises that the call has not run and never will.
    Given a fleet with a return schedule, of 1 node and 1 runner
    When calls of "non_idempotent" are known to take 5 s
    And a caller makes a "non_idempotent" call that waits for 1 s
    Then it is rejected with 503, step "check_time" and a Retry-After of 0.15 to 0.334 s
    And no runner received a call
    And the decision on it gives work_ms, work_age_ms, left_ms and retry_after_ms
    And the metrics count 1 early rejection for work

  Scenario Outline: A node learns the work from answered calls
    # A fast error says nothing about the work, and a node that learns nothing rejects
    # nothing.
    Given a fleet with a return schedule, of 1 node and 1 runner
    And the next 40 calls are answered as "<act>"
    When a caller makes 20 "<kind>" calls one after another
    Then node 1 knows the work of <known> and <slots> waits for slots

    Examples:
      | act  | kind           | known            | slots |
      | ok   | non_idempotent | "non_idempotent" | 20    |
      | fail | non_idempotent | no route         | 20    |

  Scenario: All slots of a pool are in use
    Given a fleet with a return schedule, of 2 nodes and 1 runner
    When calls have been answered until both nodes know the pool's rate from gossip
    And all slots of the runner are in use
    And a caller makes a "non_idempotent" call that waits for 2 s
    Then it asked to queue for 200 to 250 ms of its objective of 500 ms
    And it is rejected with 503, step "acquire_slot" and a Retry-After of 0.05 to 0.67 s
    And the decision on it gives return_rate_per_s, return_rate_age_ms and return_rate_source

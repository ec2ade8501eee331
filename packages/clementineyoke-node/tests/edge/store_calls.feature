Feature: Single calls to the store fail while it is well

  Scenario Outline: A runner leaves without notice while single calls to the store fail
    # A failed call taken for an outage keeps a runner in use whose entry has ended.
    Given a fleet of <nodes> nodes and 3 runners, one in <interval> calls to the store <event>
    When the entry of runner 0 ends amid calls
    Then each node learns of it within 2 s and sends calls to runner 0 for at most 2 s then, and all calls are served

    Examples:
      | nodes | interval | event                            |
      | 2     | 1        | cut off as a watch after 0.5 s   |
      | 1     | 1        | cut off as a watch after 0.5 s   |
      | 2     | 1        | cut off as a watch after 0.95 s  |
      | 2     | 3        | refused with 503                 |
      | 2     | 3        | refused with 429                 |
      | 2     | 3        | reset                            |
      | 2     | 4        | unanswered                       |
      | 1     | 4        | unanswered                       |

  Scenario Outline: A runner's state or a key changes while watches are cut off
    # A node that asks again late, or lists all entries, applies changes late.
    Given a fleet of 2 nodes and 3 runners, one in <interval> calls to the store <event>
    When <change> amid calls
    Then it is in force at each node within 1 s

    Examples:
      | interval | event                          | change                  |
      | 1        | cut off as a watch after 0.5 s | runner 0 drains         |
      | 1        | cut off as a watch after 0.5 s | the zone is evacuated   |
      | 1        | cut off as a watch after 0.5 s | the operator adds a key |
      | 3        | refused with 503               | runner 0 drains         |
      | 3        | refused with 503               | the operator adds a key |

  Scenario Outline: The answer to one read is lost
    # A lost answer or a silent connection counts as a failed call, and changes come late.
    Given a fleet of 1 node and 3 runners
    When the answer to the next <read> is lost
    Then the read returns without an error

    Examples:
      | read  |
      | watch |
      | list  |

  Scenario: The first call of a repeated read fails
    # The repetition's answer then ends a call that has ended, which is logged as an error.
    Given a fleet of 1 node and 3 runners
    When a watch is reset after it was repeated, before the repetition is answered
    Then the read returns without an error

  Scenario: A node that ends reads the store
    # A caller who resumes a stream there gets 500 in place of a refusal.
    Given a fleet of 1 node and 3 runners
    When the node has closed its connections to the store, and reads it
    Then the read fails as a call to the store

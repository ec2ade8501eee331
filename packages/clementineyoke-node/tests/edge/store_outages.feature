Feature: Runners' entries lapse in outages of the store

  Scenario Outline: Entries lapse in an outage
    # A node that drops lapsed entries has no runner until they are renewed.
    Given a fleet of 2 nodes and 3 runners, one in 4 calls to the store <event>
    When all calls to the store are <failure> for 4 s, and entries lapse in its last second
    And runners 0 and 1 renew their entries 1.9 s after it
    Then all calls are served, runners 0 and 1 are in use, and runner 2 is not

    Examples:
      | event                          | failure          |
      | cut off as a watch after 0.5 s | reset            |
      | cut off as a watch after 0.5 s | unanswered       |
      | refused with 503               | refused with 503 |
      | reset                          | unanswered       |
      | unanswered                     | unanswered       |

  Scenario: Entries lapse in an outage that is interrupted
    # Each interruption is too short for the runners to renew their entries.
    Given a fleet of 2 nodes and 3 runners, one in 1 calls to the store cut off as a watch after 30 s
    When outages of 3 s follow each other 0.7 s apart, 3 times, and entries lapse in the first
    And runners 0 and 1 renew their entries 1.9 s after it
    Then all calls are served, runners 0 and 1 are in use, and runner 2 is not

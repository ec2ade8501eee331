Feature: Slots reserved for urgent calls at a runner's home

  Scenario Outline: Calls of one rank on a runner
    # The reserve must work from the home's own count, before any gossip arrives.
    Given a home of a runner with <slots> slots and routes with <ranks> priorities
    When calls of the rank <rank> ask for slots until one is refused
    Then <granted> are granted

    Examples:
      | slots | ranks | rank | granted |
      | 24    | 3     | 1    | 23      |
      | 24    | 3     | 2    | 21      |
      | 6     | 2     | 1    | 5       |
      | 1     | 2     | 1    | 1       |

  Scenario Outline: The reserve grows while urgent calls get no slot
    Given a home of a runner with <slots> slots and routes with 3 priorities
    And <share> in 100 urgent calls of the pool get no slot
    When calls of the rank <rank> ask for slots until one is refused
    Then <granted> are granted

    Examples:
      | slots | share | rank | granted |
      | 24    | 15    | 2    | 18      |
      | 24    | 100   | 2    | 12      |
      | 24    | 100   | 1    | 18      |
      | 1     | 100   | 2    | 1       |

  Scenario: The most urgent rank
    Given a home of a runner with 24 slots and routes with 3 priorities
    And 100 in 100 urgent calls of the pool get no slot
    When 48 calls of the rank 0 ask for slots
    Then 48 are granted

  Scenario: Last-resort and queued requests
    Given a home of a runner with 24 slots and routes with 3 priorities
    When calls of the rank 2 ask for slots until one is refused
    Then a last-resort request and a queued one of the rank 2 are refused for the priority
    And a repeated request of a call that has a slot is granted
    And a call that is not described is granted

  Scenario: A more urgent rank is never refused where a less urgent one gets a slot
    Then for any load and pressure, the rule grants every rank above one that it grants

  Scenario: The reserve never exceeds half of the slots
    Then for any load and pressure, a runner with half of its slots in use has room

  Scenario: Two homes of one runner
    # While the nodes disagree on who is alive, two homes count the same runner. Each may
    # grant what it would alone, and never more than without the rule.
    Given two homes of a runner with 24 slots and routes with 3 priorities
    When 100 calls of each rank ask both homes for slots in turn, the least urgent first
    Then neither home grants a rank beyond its bound, nor more calls than without the rule

  Scenario: A pool that does not call for the rule
    # Pools whose routes have one priority must be served as before.
    Then for any load and pressure, a pool with one priority is never refused

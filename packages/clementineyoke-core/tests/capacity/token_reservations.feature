Feature: Calls to an engine reserve its memory

  Scenario Outline: A call that would exceed the usable memory is refused
    # An engine that runs out of memory preempts streams and repeats their prefill.
    Given an engine with 1000 tokens of memory that serves 1 call of 500 tokens
    When a call of <tokens> tokens asks for a slot <how>
    Then its slot is <result>

    Examples:
      | tokens | how                  | result             |
      | 400    | for the first time   | granted            |
      | 401    | for the first time   | refused for memory |
      | 401    | as the last resort   | refused for memory |
      | 401    | from the home's queue | refused for memory |

  Scenario: Shared parts count once per runner
    # With shared parts counted for each call, an engine with one long prompt refuses calls
    # that it has memory for.
    Given an engine with 1000 tokens of memory
    When 5 calls with the same 600 shared tokens and 40 own ones get slots
    Then 800 tokens are reserved on it
    And 640 tokens are reserved on it after 4 of them end
    And 0 tokens are reserved on it after 5 of them end

  Scenario Outline: An idle engine takes any call that fits in its memory
    # A call of more than nine tenths of the memory would be refused everywhere for good.
    Given an engine with 1000 tokens of memory
    When a call of <tokens> tokens asks for a slot for the first time
    Then its slot is <result>

    Examples:
      | tokens | result             |
      | 1000   | granted            |
      | 1001   | refused for memory |

  Scenario: A repeated request reserves once
    # A request is sent again if its reply is lost.
    Given an engine with 1000 tokens of memory that serves 1 call of 500 tokens
    When that call asks for its slot again
    Then its slot is granted
    And 500 tokens are reserved on it

  Scenario: A node of an earlier release does not describe its calls
    # Refusing what is not described would starve the nodes of the earlier release.
    Given an engine with 1000 tokens of memory that serves 2 calls of 400 tokens
    When an undescribed call asks for a slot
    Then its slot is granted
    And 1200 tokens are reserved on it

  Scenario: A restarted runner has no reservations
    # Calls of the previous lifetime no longer run.
    Given an engine with 1000 tokens of memory that serves 1 call of 500 tokens
    When the engine restarts
    Then 0 tokens are reserved on it

  Scenario Outline: A new home restores reservations from renewals
    # A home that takes over a runner grants its memory a second time without them.
    Given an engine with 1000 tokens of memory
    When a new home receives the renewals "<renewals>" of its calls
    Then <reserved> tokens are reserved on it
    And 0 tokens are reserved on it after all of them end

    Examples: 0 stands for a renewal without a token count
      | renewals    | reserved |
      | 300,500     | 800      |
      | 300,500,0   | 1200     |
      | 0,0         | 0        |

  Scenario: Renewals of known calls change nothing
    Given an engine with 1000 tokens of memory that serves 1 call of 500 tokens
    When that call is renewed with 900 tokens and without any
    Then 500 tokens are reserved on it

  Scenario: Any order of grants, renewals and releases leaves no reservation behind
    # An error in the sums would make an idle engine refuse calls until it restarts.
    Then the reservations equal the sum of the calls after any sequence of messages

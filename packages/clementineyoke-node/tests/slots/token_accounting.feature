Feature: Homes account for calls to engines in tokens

  Scenario: A lost release expires with the lease of its slot
    # Memory of a call whose release was lost would be reserved until the engine restarts.
    Given a home of an engine with 1000 tokens of memory
    And node A has a slot there for 800 tokens
    Then node B is refused 300 tokens for memory 14 s later
    And node B is granted 300 tokens 16 s later

  Scenario Outline: A home takes over an engine whose calls are running
    # The new home would grant the engine's memory a second time.
    Given a home of an engine with 1000 tokens of memory
    When it takes over the engine, and node A renews 2 slots with the token counts "<counts>"
    Then node B is <result> 300 tokens for <reason> 0 s later

    Examples: nodes of the earlier release send no token counts
      | counts  | result  | reason  |
      | 400,400 | refused | memory  |
      | 300,300 | granted | nothing |
      |         | granted | nothing |

  Scenario: A home that took over gets renewals of nodes of two releases
    # Calls of unknown size still take memory: with one of 400 tokens known, three count 1200.
    Given a home of an engine with 1000 tokens of memory
    When it takes over the engine, and node A renews 1 slots with the token counts "400"
    And node C of an earlier release renews 2 slots there
    Then node B is refused 300 tokens for memory 0 s later

  Scenario: A call waits in the queue until memory is free
    # A queued call that is granted regardless of the memory would overfill the engine.
    Given a home of an engine with 1000 tokens of memory
    And node A has a slot there for 800 tokens
    When node B queues for 300 tokens
    Then node B is granted them once node A releases its slot, and not before

  Scenario: A runner restarts under its id
    # Its calls have ended and its cache is empty; a home that keeps either refuses calls on
    # an idle engine or underestimates what they add to it.
    Given a home of an engine with 1000 tokens of memory
    And node A has a slot there for 300 shared and 500 own tokens
    When the engine restarts under its id
    Then node B is granted 300 shared and 500 own tokens and told that 800 are to process

  Scenario: A home that took over the engine does not know its prompts
    # A home that takes unknown prompts as absent refuses the runner that has them.
    Given a home of an engine with 1000 tokens of memory
    Then node B is granted 300 shared and 500 own tokens and told that 500 are to process

  Scenario: A home that took over the engine may take a cached prompt as absent
    # A node that learned from such a prompt would take the engines as several times faster.
    Given a home of an engine with 1000 tokens of memory
    And the engine is not the first of the order of prompts
    Then node B is granted 300 shared and 500 own tokens and told that 0 are to process

  Scenario: A node of an earlier release asks for slots
    # It describes no calls; refusing them would starve its callers.
    Given a home of an engine with 1000 tokens of memory
    And node A has a slot there for 800 tokens
    Then node C of an earlier release is granted a slot
    And node B is refused 100 tokens for memory 0 s later

  Scenario: A pool without the feature gets the same grants
    # A deployment that did not ask for the feature must be served as before.
    Then homes with and without the rules answer alike if the pool does not use them

  Scenario: Runners that refuse for the tokens of a call are named
    # Without the reasons, an operator cannot tell why a call went to another runner.
    Given a broker of a pool whose homes refuse for memory, for prefill and then grant
    When it looks for a slot
    Then the lease names the runners passed over for memory and prefill
    And it has the 900 tokens that the third home said are to process

  Scenario: A last-resort request does not go to an engine without free memory
    # Engines full of long calls have the fewest slots in use. A last-resort request to one
    # is refused again, and the call gets 503 though another engine has room for it.
    Given a broker of a pool whose homes refuse for memory with 3 slots in use and for load with 9
    When it looks for a slot
    Then its last-resort request gets a slot on a runner that refused for load

  Scenario: The home is a node of an earlier release
    # It does not say how many tokens are to process; a learner that took its grants as
    # measurements would learn a wrong rate.
    Given a broker of a pool whose homes are of an earlier release
    When it looks for a slot
    Then the lease has no tokens to process

  Scenario: A full engine is reported once, and so is a free one
    # A line for each grant on a full engine would hide everything else in the log.
    Given a home of an engine with 1000 tokens of memory
    When slots for 860 and 30 tokens are granted, the first is released, and each is reported
    Then the log says that the engine is full with 860 tokens, and free again with 30

  Scenario: A runner moves to another home
    # A gauge that keeps its last value shows the reservation at two homes.
    Given a home of an engine with 1000 tokens of memory
    And node A has a slot there for 800 tokens
    Then the gauge of its reserved tokens is 800, and 0 once another node is its home

  Scenario Outline: The caller's maximum output is huge
    # One call with such a maximum reserved a whole engine before the usual output was
    # known. Token counts are also 32-bit numbers on the wire.
    Given a home of an engine with 1000 tokens of memory
    Then a call of <prompt> prompt tokens with a maximum of <maximum> is described with <output>

    Examples:
      | prompt | maximum    | output |
      | 10     | 5000000000 | 100    |
      | 10     | 80         | 80     |
      | 950    | 5000000000 | 50     |

Feature: Prompt tokens that wait on an engine are bounded

  Background:
    Given an engine that processes 10 prompt tokens per ms

  Scenario Outline: A call that would wait too long is refused
    # Streams behind a long prefill get their first event after their objective.
    Given <waiting> tokens wait on the engine
    When a call with <own> own tokens and an objective of 400 ms asks for a slot <how>
    Then its slot is <result>

    Examples:
      | waiting | own  | how                   | result              |
      | 1000    | 1000 | for the first time    | granted             |
      | 1000    | 1001 | for the first time    | refused for prefill |
      | 1000    | 1001 | as the last resort    | granted             |
      | 1000    | 1001 | from the home's queue | refused for prefill |

  Scenario Outline: Calls protect the objective of more urgent ones
    # A less urgent call with a long objective fills the backlog that urgent ones wait for.
    Given a call of priority <priority> with an objective of 200 ms got a slot <ago> ms ago
    And 500 tokens wait on the engine
    When a call of priority 1 with 600 own tokens and an objective of 900 ms asks for a slot
    Then its slot is <result>

    Examples:
      | priority | ago   | result              |
      | 0        | 9000  | refused for prefill |
      | 0        | 11000 | granted             |
      | 1        | 9000  | granted             |

  Scenario: The backlog drains at the pool's rate
    Given 2000 tokens wait on the engine
    Then 1500 tokens wait on it 50 ms later
    And 0 tokens wait on it 250 ms later

  Scenario: Calls that ended wait for nothing
    # With a rate that was learned too low, the estimate would grow for as long as the load
    # lasts, and refuse calls on an engine that is idle.
    Given 2000 tokens wait on the engine
    When the call that brought them ends
    Then 0 tokens wait on it 0 ms later

  Scenario: The runner that has the shared parts is refused only for its backlog
    # Elsewhere the call would add its shared parts to the work.
    Given a call with 3000 shared tokens got a slot on the engine 400 ms ago
    And 1900 tokens wait on the engine
    When a call with the same 3000 shared tokens and 500 own ones asks for a slot
    Then it is granted and adds 500 tokens
    But a call with 3000 other shared tokens is refused for prefill

  Scenario: An idle engine is never refused
    # No other engine could be faster, and a call with a prompt longer than the bound would
    # go through all refusals before it is served.
    When a call with 9000 own tokens and an objective of 400 ms asks for a slot for the first time
    Then its slot is granted

  Scenario: Prompts are forgotten when the memory is used up
    # A home that believes that a prompt is cached underestimates what a call adds.
    When 4 calls with different 3000 shared tokens get slots on the engine of 10000 tokens
    Then the first prompt counts as evicted and the last as cached

  Scenario: The rate is not known yet
    # Refusing on a guess would turn calls away from engines that are fast enough.
    Given the rate of the engine is unknown
    And 90000 tokens wait on the engine
    When a call with 9000 own tokens and an objective of 400 ms asks for a slot for the first time
    Then its slot is granted

  Scenario: A node of an earlier release does not describe its calls
    Given 90000 tokens wait on the engine
    When an undescribed call asks for a slot on it
    Then its slot is granted

  Scenario: A restarted runner has an empty cache
    # Calls with a prompt that was cached before the restart add all of it again.
    Given a call with 3000 shared tokens got a slot on the engine 400 ms ago
    When the engine starts again
    Then a call with the same shared tokens adds all of them
    And 0 tokens wait on it 0 ms later

  Scenario Outline: A home that took over a runner knows no prompts
    # Taking unknown prompts as absent would refuse calls on the runner that has them.
    Given the home has just taken over the engine, which is <place> in the order of a prompt
    When a call with 3000 shared tokens and 500 own ones asks for a slot <later> ms later
    Then the call adds <added> tokens
    # A prompt that is cached although it is taken as absent shows several times the rate.
    And the rate may be learned from <measurable> tokens

    Examples:
      | place  | later | added | measurable |
      | first  | 0     | 500   | 500        |
      | second | 0     | 3500  | 0          |
      | first  | 21000 | 3500  | 3500       |
      | second | 21000 | 3500  | 3500       |

Feature: Settings and headers that overload features depend on

  Scenario Outline: Which settings switch admission by priority on
    # A deployment that did not ask for the feature must be served as before.
    Given the rule sets "<contracts>" and priority_admission <setting>
    Then admission by priority is <state>

    Examples:
      | contracts              | setting | state |
      | base,engine,platform   | unset   | off   |
      | base,pressure,platform | unset   | on    |
      | base,pressure,platform | false   | off   |
      | base,engine,platform   | true    | on    |

  Scenario Outline: The maximum output of a call
    # A malformed header must not refuse the call or raise an error.
    Given a call with the token counts "<header>"
    Then its maximum output is <tokens> tokens

    Examples:
      | header  | tokens |
      | 1460,80 | 80     |
      | 1460    | 0      |
      | 12,x    | 0      |
      | 12,-3   | 0      |
      | 12,²    | 0      |

  Scenario: Priorities and memory of pools
    Given a desired state whose routes to pool "m" have the priorities 2, 0 and 2
    Then the pool "m" has the priorities 0 and 2
    And engines of the pool "m" hold 5000 tokens

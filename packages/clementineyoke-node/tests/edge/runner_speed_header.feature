Feature: The header in which a runner reports its speed

  Scenario Outline: A load header
    # A header that is not understood must not fail the call, nor count as a speed.
    When a runner's response has status <status> and the load header "<value>"
    Then its reported slowdown is <slowdown> and the header is <validity>

    Examples:
      | status | value                   | slowdown | validity  |
      | 200    | 3,0,8,250               | 250      | valid     |
      | 500    | 3, 0, 8, 100            | 100      | valid     |
      | 200    | 3,0,8,137.6             | 138      | valid     |
      | 200    | 3,0,8,1000000           | 65535    | valid     |
      | 200    | 3,0,8                   | none     | valid     |
      | 200    | three,-1,               | none     | valid     |
      | 421    | 3,0,8,250               | none     | valid     |
      | 200    | 3,0,8,-250              | none     | malformed |
      | 200    | 3,0,8,slow              | none     | malformed |
      | 200    | 3,0,8,nan               | none     | malformed |
      | 200    | 3,0,8,inf               | none     | malformed |
      | 200    | 3,0,8,2_5               | none     | malformed |
      | 200    | 3,0,8,                  | none     | malformed |
      | 200    | ,,,250                  | none     | malformed |
      | 200    | 3,0,8,²                 | none     | malformed |
      | 200    | 3,0,8,250,7             | none     | malformed |

  Scenario: Any load header is decoded
    # An exception in the decoder would fail a call that its runner has answered.
    Then any text as a load header gives a report, no report or a malformed one

Feature: What the soak's audit makes of what runners said

  A node has passed on an answer of runner "a" at 10 s; the bound on new work is 2 s.

  Scenario Outline: A call reaches a runner that has said that it leaves
    # Guards against an audit that a fleet deaf to answers passes.
    Given an answer that says <says> at 10 s through node 0
    When a call that is sent through node <node> at <sent> s reaches the runner
    And node <restarted> was restarted at 11 s
    Then the audit finds <found>

    Examples:
      | says    | node | sent | restarted | found   |
      | leaving | 0    | 13   | 1         | a fault |
      | leaving | 0    | 11.5 | 1         | nothing |
      | leaving | 1    | 13   | 0         | nothing |
      | leaving | 0    | 13   | 0         | nothing |
      | nothing | 0    | 13   | 1         | nothing |

  Scenario Outline: Calls reach a runner that has asked for rest
    # Guards against an audit that a fleet deaf to refusals passes.
    Given a refusal that asks for 3 s of rest at 10 s through node 0
    When <calls> calls that are sent through node <node> from <sent> s on reach the runner
    Then the audit finds <found>

    Examples:
      | calls | node | sent | found   |
      | 3     | 0    | 11   | a fault |
      | 2     | 0    | 11   | nothing |
      | 3     | 0    | 10.1 | nothing |
      | 3     | 0    | 13   | nothing |
      | 3     | 1    | 11   | nothing |

Feature: Calls that reach a node after it was told to stop

  @node_processes
  Scenario Outline: Calls arrive late in the grace of a planned stop
    # A node that takes a call without asking whether its answer can end cuts it when its
    # process ends, and a call that may not be repeated is lost.
    Given 2 node processes that have 4 s to leave, and work of <work_s> s
    And node 0 has answered <answers> calls of each kind
    When callers with a budget of <budget_s> s call node 0 until its linger of 1.3 s is over
    Then each call got a whole answer, or was refused unsent and told to go elsewhere
    And <refused> of the calls were refused

    Examples:
      | work_s | budget_s | answers | refused |
      | 0.3    | 10       | 3       | none    |
      | 0.3    | 1        | 0       | none    |
      | 2.9    | 10       | 3       | some    |
      | 2.9    | 10       | 0       | all     |

  Scenario: A runner refuses a call late in the grace
    # A call that may not be repeated is sent on to another runner, only to be cut there.
    Given a node that has 3 s to leave, and work of 1 s
    And node 0 has answered 3 calls of each kind
    When the runner of a non-idempotent call refuses it 2 s after the node was told to stop
    Then its caller gets 503 as it is sent to no other runner

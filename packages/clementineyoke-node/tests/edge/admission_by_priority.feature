Feature: Admission by priority on a node

  Scenario: The demand for a pool is twice its slots
    # A call that the level rejects must not reach a runner, and its log line must say why.
    Given a fleet of 1 node and 2 runners with admission by priority
    And the runners' homes count a demand of 2 times the slots
    When 20 "idempotent" calls of the priority 0 and 20 "non_idempotent" ones of the priority 1 arrive
    Then all "idempotent" calls are answered
    And some "non_idempotent" calls are rejected at the step admission, with a time to return
    And the runners received the answered calls only
    And the log of a rejected call gives the level, the pressure, its age and the time to return
    And the status of each node gives a pressure of 2.0 and a level of 1.0
    And the metrics count the admitted and the rejected calls of the priority 1

  Scenario: The demand falls again
    Given a fleet of 1 node and 2 runners with admission by priority
    And the runners' homes count a demand of 2 times the slots
    When the demand falls to 0.5 times the slots
    And 1 "idempotent" calls of the priority 0 and 20 "non_idempotent" ones of the priority 1 arrive
    Then all "idempotent" calls are answered
    And all "non_idempotent" calls are answered

  Scenario: A node that is home of no runner
    # The level is decided where callers arrive, which may be any node.
    Given a fleet of 2 nodes and 1 runner with admission by priority
    And the runners' homes count a demand of 2 times the slots
    Then the status of each node gives a pressure of 2.0 and a level of 1.0

  Scenario: The operator gives all routes one priority
    Given a fleet of 1 node and 2 runners with admission by priority
    And the runners' homes count a demand of 2 times the slots
    When a desired state gives all routes the priority 1
    Then the status gives no pressure
    When 20 "idempotent" calls of the priority 1 and 20 "non_idempotent" ones of the priority 1 arrive
    Then all "non_idempotent" calls are answered

  Scenario: A deployment without admission by priority
    # Deployments that did not ask for the feature must be served as before.
    Given a fleet of 1 node and 2 runners without admission by priority
    And the runners' homes count a demand of 2 times the slots
    When 20 "idempotent" calls of the priority 0 and 20 "non_idempotent" ones of the priority 1 arrive
    Then all "idempotent" calls are answered
    And all "non_idempotent" calls are answered
    And the status gives no pressure

  Scenario Outline: Urgent callers disconnect while they wait for a slot
    # Callers with short timeouts leave before the search ends. Without them, the calls that
    # waited longest would not raise the pressure.
    Given a fleet of 1 node and 2 runners with admission by priority
    And urgent calls with an objective of 400 ms, and no slot for any call
    When 4 urgent callers disconnect after <wait_ms> ms
    Then <failed> urgent calls have failed

    Examples:
      | wait_ms | failed |
      | 500     | some   |
      | 50      | no     |

  Scenario: The log of the levels
    Given the admission control of a node in a pool with the priorities 0 and 1
    When the pressure is 2 for 1 s and 0.9 for 8 s, with gossip during the first 3 s
    Then the log has the levels 0.5, 1.0, 0.5 and 0.0, each with the pressure and its age
    And the log says once that the pressure is the fleet's, and once that it is not

  Scenario: Calls of a rank that starves
    # The operators do not accept that a kind of call gets nothing while others are served.
    Given the admission control of a node in a pool with the priorities 0 and 1
    When 20 calls of the priority 0 are served and 20 of the priority 1 are not
    Then a call of the priority 1 asks for its slot with the priority 0
    But a call of the priority 1 to another pool asks with the priority 1
    When 10 calls of the priority 1 are served
    Then a call of the priority 1 asks for its slot with the priority 1

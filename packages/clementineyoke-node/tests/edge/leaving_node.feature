Feature: What callers get from a node that leaves

  Scenario: Callers read long answers slowly while the node leaves
    # A node that counts an answer as done when its handler returns exits with half of it unsent.
    Given a node that may take 8 s to leave, and a runner with answers of 8 MB
    When the node leaves while 4 callers read their answers over 4 s
    Then each of them has its whole answer
    And the node has left within 8 s

  Scenario: A request is read just as a leaving node closes idle connections
    # Its handler has not begun, so that its connection looks idle: the call is sent to a
    # runner, and its caller gets no answer.
    Given a fleet of 1 node and 2 runners
    When a request is read in the moment at which the node begins to drain
    Then its caller gets a whole answer, and the runners received 1 call

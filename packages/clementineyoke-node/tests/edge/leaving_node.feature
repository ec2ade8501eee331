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

  Scenario: A caller sends its next request on the connection of a stream
    # The request is run, and its answer is broken off at the end of the time to leave.
    Given a fleet of 1 node and 2 runners
    And the runners stream slowly
    When the node begins to leave amid a stream, whose caller sends a request at its end
    Then the stream is whole, its connection ends, and the runners received 1 call

  Scenario Outline: The time to leave is over amid a call
    # The node closes its own connection to the runner: a part of an answer that ends with its
    # connection looks complete, and a call of unknown outcome gets an unexplained 500.
    Given a node that has 1 s to leave, and runners that send "<part>" and then nothing
    When the node leaves amid a "<kind>" call
    Then the caller <result>
    And no call has ended with an unexpected exception

    Examples:
      | kind           | part                             | result                   |
      | streaming      | nothing                          | gets 502                 |
      | streaming      | a head                           | has no complete answer   |
      | streaming      | a head without framing           | has no complete answer   |
      | streaming      | events                           | has no complete answer   |
      | streaming      | events without framing           | has no complete answer   |
      | streaming      | part of an event                 | has no complete answer   |
      | idempotent     | half of a document               | gets 502                 |
      | idempotent     | half of a document in chunks     | gets 502                 |
      | idempotent     | half of a document, not framed   | gets 502                 |
      | non_idempotent | half of a document, not framed   | gets 502                 |
      | non_idempotent | half of a long document          | has no complete answer   |

  Scenario Outline: The time to leave is over amid a call that a peer forwards
    # A part of an answer that comes over two nodes passes for a whole one if either ends.
    Given 2 nodes that have 1 s to leave, and runners that send "<part>" and then nothing
    And node 0 reaches no runner
    When node <number> leaves amid a "<kind>" call
    Then the caller <result>
    And no call has ended with an unexpected exception

    Examples:
      | number | kind       | part                           | result                 |
      | 0      | streaming  | a head                         | has no complete answer |
      | 0      | streaming  | events without framing         | has no complete answer |
      | 1      | streaming  | events without framing         | has no complete answer |
      | 0      | idempotent | nothing                        | gets 502               |
      | 0      | idempotent | half of a document, not framed | gets 502               |
      | 1      | idempotent | half of a document, not framed | gets 502               |

  Scenario Outline: A response is first read after the node has closed its connection
    # The reader meets an error that nobody expects, and the caller of an attempt that could
    # be repeated gets a 500.
    Given a node that has 1 s to leave, and runners that send "<part>" and then nothing
    When the connections to runners are closed before the response is read
    Then the reader gets an error of the connection

    Examples:
      | part                           |
      | a head                         |
      | a head without framing         |
      | events                         |
      | half of a document, not framed |

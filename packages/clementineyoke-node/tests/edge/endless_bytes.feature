Feature: Bytes without end

  Scenario Outline: A runner sends bytes that are no answer until it is cut off
    # One runner takes the node's memory for each call, and has the call wait for its deadline.
    Given a fleet of 1 node and 3 runners
    And the other runners answer "<kind>" calls, and runner 0 sends "<bytes>" without end
    When a caller makes 12 "<kind>" calls or more, 4 at a time, until runner 0 has got one
    Then each call ends within 500 ms, and none waits for its deadline
    And <calls> are answered by other runners
    And no connection took more than 8 MB
    And all connections to runner 0 are closed within 1 s

    Examples: Calls that may run again
      | bytes                     | kind       | calls |
      | a body in chunks          | idempotent | all   |
      | a body without a length   | idempotent | all   |
      | the body of a failure     | idempotent | all   |
      | a chunk's size line       | idempotent | all   |
      | a chunk extension         | idempotent | all   |
      | empty lines before a head | idempotent | all   |
      | heads of 103              | idempotent | all   |
      | one header line           | idempotent | all   |
      | many header fields        | idempotent | all   |
      | trailers                  | idempotent | all   |
      | junk                      | idempotent | all   |
      | a stream of filler        | streaming  | all   |
      | a stream of comments      | streaming  | all   |
      | a stream of one event     | streaming  | all   |

    Examples: Calls that may run once
      | bytes                     | kind           | calls |
      | a body in chunks          | non_idempotent | some  |
      | a body without a length   | non_idempotent | some  |
      | the body of a failure     | non_idempotent | some  |
      | a chunk's size line       | non_idempotent | some  |
      | a chunk extension         | non_idempotent | some  |
      | empty lines before a head | non_idempotent | some  |
      | heads of 103              | non_idempotent | some  |
      | one header line           | non_idempotent | some  |
      | many header fields        | non_idempotent | some  |
      | trailers                  | non_idempotent | some  |
      | junk                      | non_idempotent | some  |

  Scenario Outline: Streams of one of several runners have no end
    # A stream is cut although another runner could begin it, or go on with it.
    Given a fleet of 1 node and <runners> runners
    And the other runners answer "streaming" calls, and runner 0 sends "<bytes>" without end
    When a caller makes 12 "streaming" calls or more, 4 at a time, until runner 0 has got one
    Then all callers get the whole stream
    And no call waits for its deadline

    Examples:
      | runners | bytes                 |
      | 3       | a stream of filler    |
      | 4       | a stream of comments  |
      | 4       | a stream of one event |
      | 3       | an event and filler   |
      | 4       | an event and comments |

  Scenario Outline: Streams that may run once, of one of several runners, have no end
    # A stream that its runner may have begun is run a second time.
    Given a fleet of 1 node and 3 runners
    And the other runners answer "streaming" calls, and runner 0 sends "<bytes>" without end
    And streams are not resumable, and a call may be sent to 2 runners
    When a caller makes 12 "streaming" calls or more, 4 at a time, until runner 0 has got one
    Then those that runner 0 got are cut, and all others get the whole stream
    And no call waits for its deadline

    Examples:
      | bytes                 |
      | a stream of filler    |
      | a stream of one event |

  Scenario Outline: Bytes without end behind a whole answer
    # A whole answer is lost, or a later call gets what follows it.
    Given a fleet of 1 node and 1 runner
    And runner 0 sends "<bytes>" without end
    When a caller makes 12 "<kind>" calls, 4 at a time
    Then all callers get the whole answer
    And no connection took more than 8 MB
    And all connections to runner 0 are closed within 1 s

    Examples:
      | bytes                   | kind           |
      | a whole answer and junk | idempotent     |
      | a whole answer and junk | non_idempotent |
      | whole chunks and junk   | idempotent     |
      | whole chunks and junk   | non_idempotent |

  Scenario: A stream of whole events has no end
    # The call stays open past its deadline for as long as the runner goes on.
    Given a fleet of 1 node and 1 runner
    And runner 0 sends events without end
    When a caller makes a "streaming" call that breaks
    Then the caller sees that the response is incomplete
    And the call ended within 1 s of its deadline
    And all connections to runner 0 are closed within 1 s

  Scenario: A stream of comments alone
    # Comments that keep the timeout from running out have the call wait for its deadline.
    Given a fleet of 1 node and 2 runners
    And the other runners answer "streaming" calls, and runner 0 sends comments slowly
    When a caller makes 12 "streaming" calls or more, 4 at a time, until runner 0 has got one
    Then all are answered by other runners
    And no call waits for its deadline

  Scenario: Many runners send bytes without end at once
    # Each is within the bound of a connection, and together they take the node's memory.
    Given a fleet of 1 node and 8 runners
    And the runners 0 to 5 send "a body in chunks" without end
    When 24 callers make a "idempotent" call at once
    Then no call waits for its deadline
    And the node never held more than 25 MB
    And refusals of kind "total" are counted
    And it holds nothing afterwards

  Scenario: A failure of the node's own tells nothing of its runners
    # A caller gets the runner's address, and the headers that it was sent.
    Given a fleet of 1 node and 1 runner
    And runner 0 sends "junk" without end
    When a caller makes a "non_idempotent" call
    Then the caller gets 502
    And its body has no address, header, exception or bytes of the runner

  Scenario Outline: Refused bytes are counted by their kind
    # An operator cannot tell a runner that floods a node from one that fails.
    Given a fleet of 1 node and 1 runner
    And runner 0 sends "<bytes>" without end
    When a caller makes 4 "<kind>" calls, 4 at a time
    Then refusals of kind "<counted>" are counted

    Examples:
      | bytes                   | kind           | counted     |
      | heads of 103            | idempotent     | head        |
      | a chunk extension       | idempotent     | framing     |
      | a body in chunks        | non_idempotent | body        |
      | a stream of comments    | streaming      | event       |
      | a whole answer and junk | non_idempotent | unrequested |

  Scenario Outline: A long answer reaches a caller who reads slowly
    # A bound on what is held must not cut a sound answer, and must not be exceeded by it.
    Given a fleet of 1 node and 1 runner
    And the runner answers with <megabytes> MB <form>
    When 4 callers read "<kind>" answers slowly
    Then each gets the whole answer
    And the node never held more than <held> MB
    And it holds nothing afterwards

    Examples:
      | megabytes | form          | kind           | held |
      | 24        | with a length | idempotent     | 0    |
      | 24        | with a length | non_idempotent | 0    |
      | 3         | with a length | idempotent     | 13   |
      | 3         | in chunks     | idempotent     | 13   |
      | 3         | in chunks     | non_idempotent | 13   |

  Scenario: A long answer is relayed by a peer
    # The node that gets it from a peer must not take it for a stream that another one goes on.
    Given 2 nodes and 1 runners, whose links to nodes can be cut
    And callers use all nodes
    And the runner answers with 24 MB with a length
    When nodes "0" lose their links to all runners, "reset"
    And 1 callers read "idempotent" answers slowly
    Then each gets the whole answer
    And node 0 has got it from a peer, and not cut it

  Scenario Outline: A long failure of a runner
    # Relayed before its status is looked at, it keeps the call from another runner; cut to its head,
    # it is not the runner's.
    Given a fleet of 1 node and 1 runner
    And the runner fails with <megabytes> MB
    When a caller makes a "non_idempotent" call
    Then the caller gets <status>, <whole> the runner's body

    Examples:
      | megabytes | status | whole   |
      | 3         | 500    | and     |
      | 24        | 502    | without |

  Scenario: A caller leaves amid a long answer
    # Blamed on the runner, the end of the caller's connection has it quarantined.
    Given a fleet of 1 node and 1 runner
    And the runner answers with 24 MB with a length
    When a caller leaves 3 "idempotent" answers after their first bytes
    Then the node has logged no failure of a runner

  Scenario: A long answer breaks off after its first bytes went out
    # Another runner's answer must not follow; the caller has to see that it is incomplete.
    Given a fleet of 1 node and 2 runners
    And the runners break off answers of 8 MB in the middle
    When a caller makes a "idempotent" call that breaks
    Then the caller sees that the response is incomplete
    And the runners received 1 call

  Scenario Outline: Bounds that do not fit together
    # A node with such settings refuses sound answers, or holds more than its operator allows.
    When a node's settings have max_answer_bytes <answer> and max_held_bytes <held>
    Then they are refused with "<error>"

    Examples:
      | answer  | held    | error                                                              |
      | 2000000 | 1000000 | max_answer_bytes of 2000000 exceeds max_held_bytes of 1000000      |
      | 65535   | 1000000 | Expected `int` >= 65536 - at `$.max_answer_bytes`                  |
      | many    | 1000000 | Expected `int`, got `str` - at `$.max_answer_bytes`                |

  Scenario: The store sends bytes without end
    # The lists and watches of a node take its memory; it has to keep what it knows.
    Given a fleet of 1 node and 2 runners
    When the store answers lists and watches without end for 3 s
    Then calls are served meanwhile
    And no call to the store took more than 8 MB
    And the log says that the node refused the store's bytes
    And the node follows the store again within 3 s

  Scenario: A peer sends bytes without end
    # What a peer hands over is held as a whole, and compressed bytes may swell.
    When a peer answers a request for its state without end
    Then the state is refused, and its connection took no more than 8 MB

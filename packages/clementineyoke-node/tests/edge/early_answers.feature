Feature: Answers that end before their runner has taken the request

  Scenario Outline: A success without a length ends while its request is being sent
    # What the runner has sent by then passes for its whole answer.
    Given a node with two runners that do not read ahead
    When the first runner of an upload of <kB> kB answers "200 OK" without a length, and then: <end> after <delay_ms> ms
    Then the other runner serves the uploads that may run again, and the third fails

    Examples:
      | kB   | end       | delay_ms |
      | 900  | reset     | 0        |
      | 900  | reset     | 300      |
      | 900  | close     | 0        |
      | 900  | read half | 0        |
      | 900  | finish    | 20       |
      | 900  | finish    | 300      |
      | 4000 | reset     | 300      |
      | 4000 | close     | 0        |
      | 4000 | finish    | 20       |
      | 4000 | finish    | 300      |

  Scenario Outline: The same on the event loop of a node process
    # The loops report the end of a connection in different ways.
    Given the event loop is that of a node process
    And a node with two runners that do not read ahead
    When the first runner of an upload of <kB> kB answers "200 OK" without a length, and then: <end> after <delay_ms> ms
    Then the other runner serves the uploads that may run again, and the third fails

    Examples:
      | kB   | end    | delay_ms |
      | 900  | finish | 20       |
      | 900  | finish | 300      |
      | 4000 | finish | 300      |

  Scenario Outline: A short request waits unread when its answer ends
    # The runner's system has taken the request, which the runner never reads.
    Given a node with two runners
    When the first runner of an upload of 8 kB answers "200 OK" without a length, and then: <end> after <delay_ms> ms
    Then the other runner serves the uploads that may run again, and the third fails

    Examples:
      | end    | delay_ms |
      | reset  | 0        |
      | close  | 0        |
      | finish | 0        |
      | finish | 5        |

  Scenario Outline: A failure that is sent early
    # A runner may refuse a request without reading it, and its caller should know.
    Given a node with two runners that do not read ahead
    When the first runner of an upload of 900 kB answers "<status>" <framing>, and then: finish after 300 ms
    Then callers get status <got> from the first runner

    Examples:
      | status        | framing          | got |
      | 413 Too Large | without a length | 413 |
      | 400 Bad       | with a length    | 400 |

  Scenario Outline: A whole answer to a request that was read
    # A check that is too strict takes sound answers from their callers.
    Given a node with two runners that do not read ahead
    When the first runner of an upload of <kB> kB answers "200 OK" <framing>, and then: <end> after <delay_ms> ms
    Then callers get status 200 from the first runner

    Examples:
      | kB  | framing          | end      | delay_ms |
      | 900 | without a length | read all | 0        |
      | 900 | with a length    | finish   | 300      |
      | 8   | without a length | read all | 0        |

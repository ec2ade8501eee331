Feature: Engines and object stores with malformed or unfinished answers

  Scenario Outline: An engine closes the connection
    # What has arrived of the head is taken for an answer that is empty.
    When an engine stops in the head of an answer with <framing>: <end>
    Then none of its answers is a success

    Examples:
      | framing  | end    |
      | a length | closed |
      | chunks   | reset  |
      | neither  | closed |

  Scenario Outline: An engine goes on with another answer
    # The status of the one and the body of the other are joined.
    When an engine fails a call after a part of another answer's head with <framing>
    Then none of its answers is a success

    Examples:
      | framing  |
      | a length |
      | chunks   |
      | neither  |

  Scenario Outline: An engine answers with a malformed head
    # The node's own interface reads answers in another place than the platform's.
    When an engine answers "<status>" with "<field>"
    Then none of its answers is a success

    Examples:
      | status          | field                            |
      | HTTP/1.1 000 OK | X-Note: 1                        |
      | HTTP/2.0 200 OK | X-Note: 1                        |
      | HTTP/1.1 200 OK | Connection : close               |
      | HTTP/1.1 200 OK | X-Odd: a\x01b                    |
      | HTTP/1.1 200 OK | Transfer-Encoding: gzip, chunked |
      | HTTP/1.1 200 OK | X-Request-Id: another            |

  Scenario: An engine resets the connection within an answer that has no length
    # The part that has arrived passes for the whole answer.
    When an engine resets the connection after a part of an answer
    Then none of its answers is a success

  Scenario Outline: A store answers with a malformed head
    # The node takes the body for an object, or a write for confirmed.
    When the store of <kind> answers "<status>" with "<field>"
    Then the node takes the call for failed

    Examples:
      | kind     | status          | field              |
      | objects  | HTTP/1.1 000 OK | X-Note: 1          |
      | objects  | HTTP/1.1 200 OK | Connection : close |
      | runners  | HTTP/1.1 000 OK | X-Note: 1          |
      | runners  | HTTP/1.1 200 OK | Connection : close |

Feature: Answers whose heads break the grammar of HTTP

  Scenario Outline: A status line that is none
    # The caller gets a status that does not exist, or one that the runner did not give.
    When the first runner of each call answers "<status>" with "X-Note: 1" and <end>
    Then the other runner serves the calls that may run again, and the third fails
    And the node has learnt nothing from these answers

    Examples:
      | status                             | end      |
      | HTTP/1.1 000 OK                    | a length |
      | HTTP/1.1 000 OK                    | neither  |
      | HTTP/1.1 001 OK                    | chunks   |
      | HTTP/1.1 099 OK                    | a length |
      | HTTP/1.1 600 OK                    | a length |
      | HTTP/1.1 999 OK                    | neither  |
      | HTTP/2.0 200 OK                    | a length |
      | HTTP/0.9 200 OK                    | a length |
      | HTTP/9.9 200 OK                    | a length |
      | ICY 200 OK                         | a length |
      | HTTP/1.1 2e2 OK                    | a length |
      | HTTP/1.1 -20 OK                    | a length |
      | HTTP/1.1 20 OK                     | a length |
      | HTTP/1.1 0200 OK                   | a length |
      | HTTP/1.1 OK                        | a length |
      | HTTP/1.1  200 OK                   | a length |
      | HTTP/1.1 200 O\x01K                | a length |
      | HTTP/1.1 200 O\x7fK                | neither  |
      | HTTP/1.1 200 HTTP/1.1 500 Failed   | a length |

  Scenario Outline: A line that is no field
    # The line reaches the caller, or the body ends for the node elsewhere than for the parser.
    When the first runner of each call answers "HTTP/1.1 200 OK" with "<field>" and <end>
    Then the other runner serves the calls that may run again, and the third fails
    And the node has learnt nothing from these answers

    Examples:
      | field                       | end      |
      | Content-Length : 6          | neither  |
      | Connection : close          | a length |
      | Upgrade : odd               | a length |
      | Transfer-Encoding : chunked | neither  |
      | X-Odd : 1                   | a length |
      | X-Odd\t: 1                  | a length |
      | X Odd: 1                    | a length |
      | X\x01Odd: 1                 | a length |
      | X\x7fOdd: 1                 | a length |
      | X\xe9Odd: 1                 | a length |
      | X[Odd]: 1                   | a length |
      | : 1                         | a length |
      | X-Odd                       | a length |
      | X-Odd: 1\r\n folded         | a length |
      | X-Odd: 1\nX-Other: 2        | a length |
      | X-Odd: 1\rX-Other: 2        | a length |
      | X-Note: 1                   | line feeds |

  Scenario Outline: A value that no node can send on
    # The node cannot write the head, and its caller gets no answer at all.
    When the first runner of each call answers "HTTP/1.1 200 OK" with "<field>" and <end>
    Then the other runner serves the calls that may run again, and the third fails
    And the node has learnt nothing from these answers

    Examples:
      | field           | end      |
      | X-Odd: a\x01b   | a length |
      | X-Odd: a\x1fb   | chunks   |
      | X-Odd: a\x7fb   | neither  |
      | X-Odd: a\x00b   | a length |

  Scenario Outline: A body whose end is not certain
    # The caller gets a body that is coded, or a part of it, as whole.
    When the first runner of each call answers "<status>" with "<field>" and <end>
    Then the other runner serves the calls that may run again, and the third fails
    And the node has learnt nothing from these answers

    Examples:
      | status                  | field                                              | end      |
      | HTTP/1.1 200 OK         | Transfer-Encoding: gzip, chunked                   | neither  |
      | HTTP/1.1 200 OK         | Transfer-Encoding: gzip                            | neither  |
      | HTTP/1.1 200 OK         | Transfer-Encoding: gzip                            | chunks   |
      | HTTP/1.1 200 OK         | Transfer-Encoding: identity                        | neither  |
      | HTTP/1.1 200 OK         | Transfer-Encoding: chunked, gzip                   | neither  |
      | HTTP/1.1 200 OK         | Transfer-Encoding: chunked                         | chunks   |
      | HTTP/1.0 200 OK         | X-Note: 1                                          | chunks   |
      | HTTP/1.1 200 OK         | Transfer-Encoding: chunked                         | a length |
      | HTTP/1.1 200 OK         | Content-Length: 6                                  | a length |
      | HTTP/1.1 200 OK         | Content-Length: 2                                  | a length |
      | HTTP/1.1 200 OK         | Content-Length: 6, 6                               | neither  |
      | HTTP/1.1 200 OK         | Content-Length: +6                                 | neither  |
      | HTTP/1.1 200 OK         | Content-Length: 0x6                                | neither  |
      | HTTP/1.1 200 OK         | Content-Length:                                    | neither  |
      | HTTP/1.1 200 OK         | Content-Length: 99999999999999999999999            | neither  |
      | HTTP/1.1 204 No Content | X-Note: 1                                          | a length |
      | HTTP/1.1 204 No Content | X-Note: 1                                          | chunks   |
      | HTTP/1.1 101 Switching  | Connection: upgrade\r\nUpgrade: odd                | neither  |
      | HTTP/1.1 103 Hints\r\nContent-Length: 6\r\n\r\nHTTP/1.1 200 OK | X-Note: 1 | a length |
      | HTTP/1.1 103 Hi\x01nts\r\nX-Note: 1\r\n\r\nHTTP/1.1 200 OK | X-Note: 1 | a length |
      | HTTP/1.1 103 Hints\r\nX-Odd : 1\r\n\r\nHTTP/1.1 200 OK | X-Note: 1 | a length |

  Scenario Outline: An identity that is not certain
    # The caller reads another one than the node has checked, or none.
    When the first runner of each call answers "HTTP/1.1 200 OK" with "<field>" and <end>
    Then the other runner serves the calls that may run again, and the third fails
    And the node has learnt nothing from these answers

    Examples:
      | field                                        | end      |
      | X-Attempt-Id: another                        | a length |
      | X-Server-Signature: another                  | chunks   |
      | Content-Type: a/b\r\nContent-Type: c/d       | neither  |
      | Connection: X-Server-Signature               | a length |
      | Connection: close, x-attempt-id              | neither  |
      | Connection: content-type                     | a length |

  Scenario Outline: An unusual answer that is one
    # A check that is too strict takes sound answers from their callers.
    When a runner answers "<status>" with "<field>", "<body>" and <end>
    Then the caller gets this answer with status <got>

    Examples:
      | status                  | field                                                | body  | end      | got |
      | HTTP/1.1 200            | X-Note: 1                                            | whole | a length | 200 |
      | HTTP/1.1 200 Caf\xe9    | X-Note:                                              | whole | a length | 200 |
      | HTTP/1.0 200 OK         | X-Note: 1                                            | whole | a length | 200 |
      | HTTP/1.1 299 Odd        | X-Note: 1                                            | whole | chunks   | 299 |
      | HTTP/1.1 200 OK         | !#$%&'*+.^_`~0-z:a\tb                                | whole | neither  | 200 |
      | HTTP/1.1 200 OK         | Set-Cookie: a=1\r\nSet-Cookie: b=2                   | whole | a length | 200 |
      | HTTP/1.1 200 OK         | Connection: keep-alive, X-Note\r\nUpgrade: odd       | whole | a length | 200 |
      | HTTP/1.1 200 OK         | Transfer-Encoding: Chunked\r\n\r\n5;a=b\r\nwhole\r\n0\r\nX-Odd: 1\r\n | whole | neither | 200 |
      | HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK | X-Note: 1 | whole | a length | 200 |
      | HTTP/1.1 204 No Content | Content-Length: 0                                    | -     | neither  | 204 |
      | HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK | X-Note: 1 | whole | single bytes | 200 |
      | HTTP/1.1 205 Reset      | X-Note: 1                                            | -     | a length | 205 |

  Scenario Outline: A peer relays an answer with a malformed head
    # The peer may be of another build, or not be a node at all.
    When a peer answers a call that it relays "<status>" with "<field>" and a length
    Then the caller learns that the call failed

    Examples:
      | status          | field              |
      | HTTP/1.1 000 OK | X-Note: 1          |
      | HTTP/1.1 200 OK | Connection : close |
      | HTTP/1.1 200 OK | X-Odd: a\x01b      |

  Scenario: Heads in which bytes were changed, left out or added
    # The check and the parser read a head in different ways, and one of them is followed.
    Then the parser reads each of 1000 such heads that the check accepts as the check does

Feature: Runners and peers that stop before the end of an answer's head, or right after it

  Scenario Outline: A runner closes a stream without a length before its first event
    # The caller gets 200 with an empty stream, which ends as complete.
    Given a fleet of 1 node and 2 runners that frame no streams
    When the first runner of a stream closes its connection after <sent>
    Then the caller gets all events of the stream, each once
    And the runners received 2 calls of the stream

    Examples:
      | sent                 |
      | the head             |
      | the head, at once    |
      | a comment            |
      | an event without end |

  Scenario Outline: It cannot be resumed
    # The caller takes the empty stream for the whole one, and never asks again.
    Given a fleet of 1 node and 2 runners that frame no streams
    And streams are not resumable
    When the first runner of a stream closes its connection after <sent>
    Then the caller has no complete answer
    And the runners received 1 call of the stream

    Examples:
      | sent      |
      | the head  |
      | a comment |

  Scenario: No runner has an event
    # The last attempt of the call passes for the whole stream.
    Given a fleet of 1 node and 2 runners that frame no streams
    When each runner of a stream closes its connection after the head
    Then the caller has no complete answer

  Scenario: A caller who has the whole stream asks for its rest
    # Each such call is cut for its caller, who asks again.
    Given a fleet of 1 node and 2 runners that frame no streams
    When a caller who has the last event resumes the stream
    Then the caller gets an empty answer that is complete
    And the runners received 1 call of the stream

  Scenario Outline: A runner stops in the head of an answer, on a kept connection
    # What has arrived of the head is taken for an answer that is empty.
    When a runner stops in the head of a "<kind>" call's answer, with <framing>: <end>
    Then no caller gets a part of an answer as a whole one
    And no call that may run once reaches a second runner

    Examples:
      | kind           | framing  | end        |
      | idempotent     | a length | closed     |
      | idempotent     | chunks   | taken over |
      | idempotent     | neither  | reset      |
      | non_idempotent | a length | taken over |
      | non_idempotent | chunks   | reset      |
      | non_idempotent | neither  | closed     |
      | streaming      | a length | reset      |
      | streaming      | chunks   | closed     |
      | streaming      | neither  | taken over |

  Scenario Outline: A peer stops in the head of an answer that it relays
    # The caller of the other node gets 200 with an empty body.
    When a peer stops in the head of a "<kind>" call's answer that it relays: <end>
    Then no caller gets a part of an answer as a whole one

    Examples:
      | kind           | end    |
      | idempotent     | closed |
      | non_idempotent | closed |
      | streaming      | closed |
      | idempotent     | reset  |
      | non_idempotent | reset  |
      | streaming      | reset  |

  Scenario Outline: The store stops in the head of its answers
    # The node takes the list for empty, or ends to follow it.
    When the store stops in the head of its answers at each place: <end>
    Then the node serves all the time, and follows the store after each

    Examples:
      | end    |
      | closed |
      | reset  |

  Scenario Outline: A part of another answer's head comes before a failure
    # The status of the one and the body of the other are joined.
    When each runner of a "<kind>" call fails it after a part of another answer's head
    Then no caller gets a part of an answer as a whole one

    Examples:
      | kind           |
      | idempotent     |
      | non_idempotent |

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

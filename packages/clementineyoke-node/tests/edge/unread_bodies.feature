Feature: Runners that read a long body late

  Scenario Outline: A runner leaves a long body unread
    # A connection whose peer's window is shut is given up as dead, and its answer is lost.
    Given a node with runners that leave a body unread for <unread_s> s, with the head of the answer <head>
    When a body of 72000 bytes is sent to a <kind> route
    Then the answer is whole, and one runner has read the whole body

    Examples:
      | kind           | unread_s | head            |
      | streaming      | 4.5      | sent before     |
      | non_idempotent | 4.5      | sent before     |
      | non_idempotent | 4.5      | sent after that |

  Scenario Outline: The system's view of a connection that does not make progress
    # A peer that is gone would be kept if its silence passed for a shut window.
    Given a connection with <pending> pending bytes, <retransmissions> retransmissions, <probes> unanswered probes and a peer silent for <silence_ms> ms
    Then its user timeout is <timeout_ms> ms

    Examples:
      | pending | retransmissions | probes | silence_ms | timeout_ms |
      | 4000    | 0               | 1      | 9000       | 0          |
      | 4000    | 0               | 2      | 2499       | 0          |
      | 4000    | 0               | 2      | 2500       | 2500       |
      | 4000    | 1               | 0      | 2499       | 0          |
      | 4000    | 1               | 0      | 2500       | 2500       |
      | 0       | 0               | 0      | 0          | 2500       |

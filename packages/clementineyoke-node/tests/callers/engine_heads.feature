Feature: Engines that stop in the head of an answer

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

Feature: Bodies reach runners as callers sent them

  Scenario Outline: A caller sends a body with a content coding
    # A server that decompresses bodies hands runners other bytes than the caller sent.
    Given a fleet of 1 node and 1 runner
    When a body with the content coding "<coding>" is sent
    Then the runner received the body and the content coding unchanged

    Examples:
      | coding  |
      | gzip    |
      | deflate |
      | br      |
      | unknown |

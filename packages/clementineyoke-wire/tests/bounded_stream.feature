Feature: Logging never blocks a node

  Scenario: The log pipe is no longer read
    # If the log collector hangs, the pipe fills up; a blocking write would freeze the node.
    Given a log pipe without a reader
    When 5000 lines of 100 bytes are logged at once
    Then logging does not block
    And the dropped lines are reported once the pipe is read again

  Scenario: Too many lines are logged at once
    Given a log pipe with a continuous reader
    When 5000 lines of 100 bytes are logged at once
    Then at most 2100 lines are written

  Scenario: A warning is logged while the log pipe is full
    # If a full pipe drops warnings, nothing tells why a caller's answer was cut.
    Given a log pipe without a reader
    When 5000 lines of 100 bytes are logged at once, every 100th a warning
    And the log pipe is read and another line is logged
    Then all 50 warnings are written in their order

Feature: Logs never block a node

  Scenario: Nobody reads the log any more
    # Symptom: a node stands still although its host is well.
    # Sequence: the collector of the log hangs, the pipe fills up.
    # Cause: a write to a full pipe waits for its reader.
    Given a log pipe that nobody reads
    When 5000 lines of 100 bytes are logged at once
    Then logging has not waited
    And the lines that did not fit are counted when the pipe is read again

  Scenario: A flood of lines
    Given a log pipe that is read all the time
    When 5000 lines of 100 bytes are logged at once
    Then at most 2100 lines were written

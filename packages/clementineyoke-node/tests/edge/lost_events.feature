Feature: Events that were read from a runner and not written to the caller

  Scenario Outline: A runner is found replaced after its first events were read
    # The events that were left with the runner counted as the caller's, and no other runner sent them again.
    Given 1 node and 4 runners of the versions "v1"
    And the runners' entries have start times
    And a stream may be sent to 3 runners
    When 6 streams break, and the entry of the runner that goes on is <entry> before its first <events> events
    Then each caller gets all events, each once
    And all runners that go on are asked for what follows event 2, also after a refusal

    Examples:
      | entry          | events |
      | left unchanged | 1      |
      | taken out      | 1      |
      | taken out      | 3      |
      | replaced       | 1      |
      | replaced       | 3      |

  Scenario Outline: A caller takes a stream up, and the runner is found replaced
    # As above, where the caller itself names the last event that it has.
    Given 1 node and 4 runners of the versions "v1"
    And the runners' entries have start times
    And a stream may be sent to 2 runners
    When 6 callers take streams up after event 2, and the entry of the runner that goes on is <entry> before its first <events> events
    Then each caller gets all events, each once
    And all runners that go on are asked for what follows event 2, also after a refusal

    Examples:
      | entry          | events |
      | left unchanged | 1      |
      | taken out      | 1      |
      | taken out      | 3      |
      | replaced       | 1      |
      | replaced       | 3      |

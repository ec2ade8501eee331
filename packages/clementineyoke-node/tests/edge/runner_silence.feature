Feature: Streams outlive a silence of their runners

  Scenario Outline: Runners fall silent amid streams and go on by themselves
    # If nodes leave silent runners before another one has a slot for the stream and the retry
    # budget allows it, many streams that miss their events at once are cut.
    Given 4 nodes and 8 runners that send streams of 40 events
    When <runners> runners are silent for <silent_s> s amid 160 streams, <manner>
    Then every caller gets all events of its stream in one answer, each once
    And no two runners had one stream for longer than 0.4 s
    And streams were sent to further runners at most 82 times

    Examples:
      | runners | silent_s | manner       |
      | 8       | 1.2      | at once      |
      | 8       | 2.4      | at once      |
      | 8       | 1.0      | in turn      |
      | 3       | 1.0      | in turn      |
      | 1       | 1.2      | at once      |
      | 8       | 1.2      | out of reach |
      | 8       | 2.4      | out of reach |

  Scenario: Nodes and runners stand still together amid streams
    # When a node goes on, the timeouts of all its streams expire before it reads what their
    # runners have sent.
    Given 4 nodes and 8 runners that send streams of 40 events
    When nodes and runners stand still for 1.2 s amid 160 streams
    Then every caller gets all events of its stream in one answer, each once

  Scenario: No other runner takes the streams of a silent one
    # A node that leaves the runner before another one has accepted the stream is left with none.
    Given 1 nodes and 3 runners that send streams of 40 events
    And all runners but the first refuse calls after 0.5 s
    When 1 runners are silent for 1.6 s amid 6 streams, at once
    Then every caller gets all events of its stream in one answer, each once

  Scenario: A runner goes on just after its stream was sent to another one
    # If both are read, events come twice, and two runners work on one stream.
    Given 1 nodes and 3 runners that send streams of 40 events
    And the runners begin a stream 0.15 s after they get it
    When 1 runners are silent for 0.9 s amid 12 streams, at once
    Then every caller gets all events of its stream in one answer, each once
    And no two runners had one stream for longer than 0.4 s
    And at least 1 stream stayed with its runner

  Scenario: A call waits for a silent runner that no other one may replace
    # A call whose head does not come is given up after four times the objective, although its
    # caller waits for eight pauses.
    Given 1 nodes and 1 runners that send streams of 40 events
    When 1 runners are silent for 2.5 s before 4 streams begin
    Then every caller gets all events of its stream in one answer, each once

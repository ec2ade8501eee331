Feature: Streams outlive a silence of their runners

  Scenario Outline: Runners fall silent amid streams and go on by themselves
    # If nodes leave silent runners before another one has a slot for the stream and the retry
    # budget allows it, many streams that miss their events at once are cut.
    Given 4 nodes and 8 runners that send streams of 40 events
    When <runners> runners are silent for <silent_s> s amid 160 streams, <manner>
    Then every caller gets all events of its stream in one answer, each once

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

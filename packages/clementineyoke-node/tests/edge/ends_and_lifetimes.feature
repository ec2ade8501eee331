Feature: Answers without a length end at runners whose lifetimes are known to be over

  Scenario Outline: A runner is back at its address at once, and the node knows that
    # The address accepts connections, so that a part of a stream counts as the whole.
    Given a fleet of 1 node and 2 runners that frame no streams
    And the runners' entries have start times
    And a runner that ends is back at once, and the node learns it by <evidence>
    When the runner of a stream ends after 2 events, and the node looks at once
    Then the caller gets all events of the stream, each once

    Examples:
      | evidence             |
      | its next entry       |
      | a refused connection |
      | a peer's message     |

  Scenario Outline: A runner is back at once, and its stream cannot be resumed
    # The caller takes a part of the stream for the whole, and never asks for the rest.
    Given a fleet of 1 node and 2 runners that frame no streams
    And the runners' entries have start times
    And a runner that ends is back at once, and the node learns it by <evidence>
    And streams are not resumable
    When the runner of a stream ends after 2 events, and the node looks at once
    Then the caller has no complete answer
    And the runners received 1 call of the stream

    Examples:
      | evidence             |
      | its next entry       |
      | a refused connection |
      | an entry that drains |

  Scenario Outline: A runner refuses a connection, and lives on
    # Each whole stream of a runner that was in doubt once is cut for its caller.
    Given a fleet of 1 node and 2 runners that frame no streams
    And the runners' entries have start times
    And each runner has <connection> of the node beside the stream
    And streams are not resumable
    And <evidence> speaks of the end of a runner <when> its stream
    When the runner of a stream ends it, and the node looks at once
    Then the caller gets all events of the stream, each once
    And the runners received 1 call of the stream

    Examples:
      | evidence             | when          | connection     |
      | a refused connection | before        | no connection  |
      | a refused connection | amid          | no connection  |
      | a refused connection | at the end of | a waiting call |
      | its next entry       | amid          | no connection  |

  Scenario: A runner refuses a connection amid a stream that another one may go on with
    # An end that comes late, as it was lost on the way, counts as that of the stream.
    Given a fleet of 1 node and 2 runners that frame no streams
    And the runners' entries have start times
    And a refused connection speaks of the end of a runner amid its stream
    When the runner of a stream ends it, and the node looks at once
    Then the caller gets all events of the stream, each once
    And the runners received 2 calls of the stream

  Scenario: A runner is back within 100 ms, and the node has not heard of it
    # The end counts as too young for another process to listen there by then.
    Given a fleet of 1 node and 2 runners that frame no streams
    And the runners' entries have start times
    And the address of a runner that ends is taken over at once
    When the runner of a stream ends after 2 events, and the node stands still 60 ms
    Then the caller gets all events of the stream, each once

  Scenario: A runner lives on, and its node stands still for a moment
    # Each whole stream at a busy node costs a call at another runner.
    Given a fleet of 1 node and 2 runners that frame no streams
    And the runners' entries have start times
    And each runner has a waiting call of the node beside the stream
    When the runner of a stream ends it, and the node stands still 60 ms in the turn of the end
    Then the caller gets all events of the stream, each once
    And the runners received 1 call of the stream

  Scenario: A runner is back, and sends a short answer at once
    # Whole answers on connections that are newer than the evidence are made again or cut.
    Given a fleet of 1 node and 2 runners that frame no streams
    And the runners' entries have start times
    When connections are refused, and a short document is sent right after that
    Then the runners received 1 call

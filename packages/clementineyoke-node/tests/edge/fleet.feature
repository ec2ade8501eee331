Feature: Start, state and stop of a node on the platform

  Scenario: The store drops its history and leaves watches without an answer
    # Guards against a withdrawn key that is served for 12 s. Watches get no answer while
    # the state is written, and the history is dropped after that. A watch waits 10 s, so
    # an error on one watch must end the others.
    Given a fleet of 1 node and 1 runner
    When watches are deaf while the operator withdraws the key, and the history goes
    Then calls are refused with 401 within 4 s

  Scenario Outline: The operator removes all teams
    # Guards against taking an empty list of teams for one that asks for no key.
    Given a fleet of 1 node and 1 runner
    When the operator's state has <teams>
    Then a call with a key that was withdrawn gets <status>, and so does one that never was

    Examples:
      | teams                  | status |
      | an empty list of teams | 401    |
      | one team without keys  | 401    |
      | no list of teams       | 200    |

  Scenario: A node starts while the store refuses its calls
    # Guards against a restarted node that refuses every call until the store answers it:
    # the store serves all other nodes, which can hand over the desired state.
    Given a fleet of 1 node and 1 runner
    When a second node starts that the store turns away
    Then the second node serves calls within 2 s

  Scenario: A peer sends an older state
    Given a fleet of 1 node and 1 runner
    When the node is handed an older state
    Then the newer state stays in force

  Scenario: Nodes discover each other, and a leaving node is no longer listed
    Given a fleet of 2 nodes and 1 runner
    Then each node names 2 addresses within 2 s
    When the second node is told to stop
    Then the first node names 1 address within 1 s
    And the second node says that it is not ready

  Scenario: A node without a desired state refuses calls with a Retry-After
    Given a fleet of 0 nodes and 1 runner
    When a node starts while the store is silent
    And a caller makes a "idempotent" call
    Then the caller gets 503 and a time to return

  Scenario: Operators read a node's metrics and decisions
    Given a fleet of 1 node and 1 runner
    When a caller makes a "idempotent" call
    Then the node's metrics count 1 request with status 200 and its calls to the store
    And the node explains the call "call-1" by its decisions

  Scenario: A planned stop with a stream in flight
    # Guards against a restart that cuts off streams in flight because the process ends
    # together with its listener.
    Given a fleet of 1 node and 1 runner
    And the runners stream slowly
    When the node is told to stop in the middle of a stream
    Then the caller gets the events 1 to 6, each once and whole
    And the node ends within its time

  Scenario: A call on an idle connection of a leaving node
    # Guards against a call that is accepted and never answered: the node stops listening
    # and stops reading idle connections, but leaves them open.
    Given a fleet of 1 node and 1 runner
    And the runners stream slowly
    When a call comes on an idle connection while a leaving node ends a stream
    Then the caller gets an answer or sees the connection closed at once

  Scenario: Entries expire while the store is unreachable
    Given a fleet of 1 node and 1 runner
    When the store is away, the runner's entry lapses and the store returns
    Then calls are still served

  Scenario: A watch that lasts through a store outage
    # Guards against a large fleet that refuses all calls after an outage of the store. All
    # entries expire in a silent outage of 6 s. Watches of 20 s wait through it, end without
    # an error and report the entries as removed, and no failed call has shown the outage.
    # The model checker covers this in runner_entries_spec.
    Given a fleet of 1 node and 1 runner
    Then with 60 nodes that watch a watch of the runners ends before three heartbeats

  Scenario: A lapsed entry's time is over
    # Guards against dropping a runner by a watch that is older than its renewed entry.
    Given a fleet of 1 node and 1 runner
    Then a watch of the runners ends when a lapsed entry's time of 900 ms does

  Scenario: The settings file changes
    # Guards against a node that exits because its settings file is half written when the
    # node checks it.
    Given a settings file of a node
    When it is half written and the node looks at it
    Then the node keeps its settings
    When it names another seed and the node looks at it
    Then the node takes the new seed

  Scenario: A node starts while its settings file is written
    # Guards against a node that exits with code 2, and is up seconds after the others,
    # because its settings file is half written at its start.
    Given a settings file of a node
    When a node starts while the file is half written, and the rest follows
    Then it has its settings

  Scenario: The settings change while a node loads its modules
    # Guards against a node that ends with -1 right after its start: the platform sends
    # SIGHUP before the node has installed its handler.
    Given a settings file of a node
    When a node's process is told of changed settings while it starts
    Then it goes on to start

  Scenario: The settings change while a node ends
    # Guards against exit status -1 after an orderly stop: the interpreter restores the
    # default signal handlers before it unloads its modules, and SIGHUP arrives then.
    Given a settings file of a node
    When a node's process is told of changed settings after its last answer
    Then it ends in order

  Scenario: Callers connect while a node loads its modules
    # Guards against refusing connections for 0.2 s after each start, because the node
    # listens only once its modules are loaded. After a loss of all nodes, callers that
    # are refused twice are not served at all.
    When a process opens its listening sockets before it loads its modules
    Then a caller that connects in between is answered once they are loaded

  Scenario: A stop is requested while a node loads its modules
    # Guards against exit status -15 of a node that is stopped right after its start,
    # because SIGTERM arrives before the node has installed its handler.
    When a node's process gets SIGTERM while it starts
    Then it continues to start and has recorded the stop request

  Scenario: The address of a listening socket is in use
    When a process opens a listening socket at an address that is in use
    Then it continues without that socket

  Scenario: A call arrives before the first state
    # Guards against a restarted node that tells callers to retry in a second, although it
    # has its state 20 ms later: the call arrives 10 ms before the first answer of the store.
    Given a fleet of 0 nodes and 1 runner
    When a node starts and a call arrives before its state
    Then the caller gets 200

  Scenario: Runners leave the pool while a call waits for the answer of a home
    # The search went on with a ring that had changed, and the caller got 500.
    Given a fleet of 1 node and 8 runners
    When all but 2 runners leave while a call waits for the home of another one
    Then the caller gets 200 and its own response, with the runner's signature

  Scenario: A call ends with an exception that nobody expected
    # The caller got 500, and nothing but a traceback on standard error told of it.
    Given a fleet of 1 node and 2 runners
    When the search for a slot raises an exception during a call
    Then the caller gets 500, and the node logs and counts the call as failed

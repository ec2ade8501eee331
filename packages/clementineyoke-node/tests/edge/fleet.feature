Feature: What a node on the platform believes

  Scenario: The store drops its history and leaves watches deaf
    # Symptom: a withdrawn key goes on being served for 12 s.
    # Sequence: watches hear nothing while a state is written, then the history goes.
    # Cause: a watch waited 10 s, and trouble with one watch was no sign for the other.
    Given a fleet of 1 node and 1 runner
    When watches are deaf while the operator withdraws the key, and the history goes
    Then calls are refused with 401 within 4 s

  Scenario: A node starts while the store turns it away
    # Symptom: a restarted node refuses every call until the store is back.
    # Sequence: the store serves all nodes but one; that one is restarted.
    # Cause: the store was the only source of the desired state.
    Given a fleet of 1 node and 1 runner
    When a second node starts that the store turns away
    Then the second node serves calls within 2 s

  Scenario: A state from a peer is older
    Given a fleet of 1 node and 1 runner
    When the node is handed an older state
    Then the newer state stays in force

  Scenario: Nodes find each other, and a leaving one is no longer named
    Given a fleet of 2 nodes and 1 runner
    Then each node names 2 addresses within 2 s
    When the second node is told to stop
    Then the first node names 1 address within 1 s
    And the second node says that it is not ready

  Scenario: A node without a desired state refuses with a time to return
    Given a fleet of 0 nodes and 1 runner
    When a node starts while the store is silent
    And a caller makes a "idempotent" call
    Then the caller gets 503 and a time to return

  Scenario: Operators look at a node
    Given a fleet of 1 node and 1 runner
    When a caller makes a "idempotent" call
    Then the node's metrics count 1 request with status 200 and its calls to the store
    And the node explains the call "call-1" by its decisions

  Scenario: A planned stop with a stream in flight
    # Symptom: a restart cuts the streams that a node carries.
    # Sequence: the node is told to stop in the middle of a stream.
    # Cause: the process ended with its listener.
    Given a fleet of 1 node and 1 runner
    And the runners stream slowly
    When the node is told to stop in the middle of a stream
    Then the caller gets the events 1 to 6, each once and whole
    And the node ends within its time

  Scenario: A kept connection of a leaving node
    # Symptom: a call is read and never answered.
    # Sequence: the node closes for callers; a call comes on a connection kept idle.
    # Cause: the reader of idle connections was ended and the connections left open.
    Given a fleet of 1 node and 1 runner
    And the runners stream slowly
    When a call comes on an idle connection while a leaving node ends a stream
    Then the caller gets an answer or sees the connection closed at once

  Scenario: Entries lapse while the store is away
    Given a fleet of 1 node and 1 runner
    When the store is away, the runner's entry lapses and the store returns
    Then calls are still served

  Scenario: A watch that waits through an outage
    # Symptom: a large fleet refuses everything after an outage of the store.
    # Sequence: watches wait 20 s; a silent outage of 6 s lets all entries lapse; the
    #   watches end in order and show the entries as ended.
    # Cause: no call was made in the outage, so no node knew of it. Found by the model
    #   checker (runner_entries_spec).
    Given a fleet of 1 node and 1 runner
    Then with 60 nodes that watch a watch of the runners ends before three heartbeats

  Scenario: The settings file changes
    # Symptom: a node ends when its settings file is written.
    # Sequence: the file is half written at one check, whole and changed at the next.
    # Cause: settings that did not read as agreed were taken for a fatal fault.
    Given a settings file of a node
    When it is half written and the node looks at it
    Then the node keeps its settings
    When it names another seed and the node looks at it
    Then the node takes the new seed

  Scenario: A node starts while its settings file is written
    # Symptom: a node ends with exit code 2 and is up seconds after the others.
    # Sequence: all nodes are killed while the settings file of one is half written.
    # Cause: a start took settings that did not read as agreed for final.
    Given a settings file of a node
    When a node starts while the file is half written, and the rest follows
    Then it has its settings

  Scenario: The settings change while a node loads its modules
    # Symptom: a node ends by itself with -1 right after its start.
    # Sequence: a process starts; the platform signals a change of the settings before
    #   the node has got to its signal handlers.
    # Cause: the signal met its default, which ends the process.
    Given a settings file of a node
    When a node's process is told of changed settings while it starts
    Then it goes on to start

  Scenario: The settings change while a node ends
    # Symptom: a node that was stopped in order ends with -1.
    # Sequence: its last call is answered; the platform signals a change of the settings
    #   while the interpreter unloads its modules.
    # Cause: the interpreter gives signals their defaults back before it does so.
    Given a settings file of a node
    When a node's process is told of changed settings after its last answer
    Then it ends in order

  Scenario: Callers come while a node loads its modules
    # Symptom: callers are refused for 0.2 s after each start, and those that were
    #   refused twice are not served at all.
    # Sequence: all nodes are killed; callers come back while the processes start.
    # Cause: a node listened only after its modules were loaded.
    When a process opens its doors first and loads its modules after that
    Then a caller that connects meanwhile is answered once they are loaded

  Scenario: A stop is ordered while a node loads its modules
    # Symptom: a node that was told to stop in its first moment ends with -15.
    # Sequence: the platform stops hosts in turn, and one of them has just been started.
    # Cause: the signal met its default until the node had its handlers.
    When a node's process is told to stop while it starts
    Then it goes on to start and knows of the order

  Scenario: A door's address is taken
    When a process opens a door whose address is taken
    Then it goes on without it

  Scenario: A call comes before the first state
    # Symptom: callers of a restarted node are told to come back in a second.
    # Sequence: a call comes 10 ms before the node has heard the store.
    # Cause: what had no state refused at once, though it was 20 ms away.
    Given a fleet of 0 nodes and 1 runner
    When a node starts and a caller's call comes before its state
    Then the caller gets 200

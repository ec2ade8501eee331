Feature: Parts of prompts that crash the runners that start to answer

  Scenario: Requests that share one part with each other crash every runner
    # No two of them are alike, so that records of single requests never have two crashes,
    # and each of them takes down one more runner with the streams on it.
    Given a fleet of 3 nodes and 6 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    When 16 requests with that part are sent, beside sound ones with the same first part
    Then at most 5 runners have crashed
    And the last request with that part was refused at once with 503 and a Retry-After
    And no sound request was refused for the crashes, and the last 8 were served

  Scenario: The crashing part is the first one
    Given a fleet of 3 nodes and 6 runners that restart after a crash
    And a first part of a prompt that crashes every runner that starts to answer
    When 16 requests with that part are sent, beside sound ones of the same caller
    Then at most 5 runners have crashed
    And the last request with that part was refused at once with 503 and a Retry-After
    And no sound request was refused for the crashes, and the last 8 were served

  Scenario: The crashed runners close their connections in order
    # An answer with neither a length nor chunks ends with its connection. Half of one then
    # looks complete, and would be taken as a proof that the part crashes nothing.
    Given a fleet of 3 nodes and 6 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    And the runners frame no answers and close connections in order when they crash
    When 16 requests with that part are sent, beside sound ones with the same first part
    Then at most 5 runners have crashed
    And the last request with that part was refused at once with 503 and a Retry-After
    And no sound request was refused for the crashes, and the last 8 were served

  Scenario: A half answer without a length is not relayed as a complete one
    # The caller would take the half of a stream for all of it.
    Given a fleet of 1 node and 2 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    And the runners frame no answers and close connections in order when they crash
    When a request with that part is sent that may go to 1 runner
    Then its answer is not complete
    And the log says that its connection was lost, and which parts its prompt shares

  Scenario: A draining runner crashes within an answer without a length
    # Its end would pass for the planned one, and half of the answer for all of it.
    Given a fleet of 1 node and 2 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    And the runners frame no answers and close connections in order when they crash
    And the runners signal draining in their answers
    When a request with that part is sent that may go to 1 runner
    Then its answer is not complete

  Scenario: The end of another connection to the crashed runner is lost
    # That connection seems to be open, as if the runner lived on.
    Given a fleet of 1 node and 1 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    And the runners frame no answers and close connections in order when they crash
    And another call's connection stays open when a runner crashes
    When a request with that part is sent that may go to 1 runner
    Then its answer is not complete

  Scenario: A complete answer without a length comes from a runner that lives on
    Given a fleet of 1 node and 2 runners that restart after a crash
    And the runners frame no answers and close connections in order when they crash
    When a sound request is sent
    Then its answer is complete
    And the log says that its answer ended with its connection

  Scenario: A node that has just started gets a request with the part
    # Records in the memory of the nodes that saw the crashes are unknown to a new node.
    Given a fleet of 2 nodes and 6 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    When 6 requests with that part are sent, beside sound ones with the same first part
    And a third node starts while the store is unavailable
    And 2 more requests with that part are sent to the newest node
    Then none of these has reached a runner

  Scenario: All nodes restart and get requests with the part
    Given a fleet of 2 nodes and 6 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    When 6 requests with that part are sent, beside sound ones with the same first part
    And all nodes end and restart
    And 2 more requests with that part are sent to the newest node
    Then none of these has reached a runner
    When a sound request is sent
    Then its answer is complete

  Scenario: A request with the part waits for a slot until the part is known
    # It arrived before the third crash, and would crash one more runner after it.
    Given a fleet of 2 nodes and 6 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    When a request with that part waits for a slot while 6 others are sent
    Then it was refused with 503 and has not reached a runner

  Scenario: The refusal of a part is over at all nodes at the same moment
    # Each node would let one request through, and a runner would crash for each.
    Given a fleet of 3 nodes and 6 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    When 6 requests with that part are sent, beside sound ones with the same first part
    And the crash records of the nodes have aged by 300 s
    And one request with that part is sent to each node at the same moment
    Then 1 of these has reached a runner
    When one request with that part is sent to each node at the same moment
    Then 0 of these has reached a runner

  Scenario: The runners are mended while a part is refused
    Given a fleet of 3 nodes and 6 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    When 6 requests with that part are sent, beside sound ones with the same first part
    And the runners are mended
    And the crash records of the nodes have aged by 300 s
    And one request with that part is sent to each node at the same moment
    Then within 2 s a request with that part is served at every node

  Scenario Outline: Runners answer some requests with the part without serving them
    # Only a complete, successful answer proves that a part crashes no runner.
    Given a fleet of 3 nodes and 6 runners that restart after a crash
    And a part of a prompt that crashes every runner that starts to answer
    When 16 requests with that part are sent, and every second one is answered as "<answer>"
    Then at most 5 runners have crashed
    And the last request with that part was refused at once with 503 and a Retry-After

    Examples:
      | answer |
      | refuse |
      | fail   |
      | cut    |

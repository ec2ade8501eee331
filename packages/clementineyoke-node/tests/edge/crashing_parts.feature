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

  Scenario: A complete answer without a length comes from a runner that lives on
    Given a fleet of 1 node and 2 runners that restart after a crash
    And the runners frame no answers and close connections in order when they crash
    When a sound request is sent
    Then its answer is complete
    And the log says that its answer ended with its connection

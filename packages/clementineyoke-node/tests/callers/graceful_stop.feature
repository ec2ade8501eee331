Feature: A graceful stop aborts no request

  Scenario: The node is stopped while a stream is in flight
    # Responses would be truncated at every roll-out if a node that gets its stop signal
    # during a long stream closed the listener and the connections together.
    Given a node with simulated runners
    When a stream of 100 tokens starts and the node is stopped
    Then the chat's stream is complete
    And a caller with a cached address was served during the linger time
    And afterwards the node refuses connections

  Scenario: The node is stopped during an outage of the platform
    # A stop would take two minutes with nothing in flight if it waited as long for a
    # claim's report, which needs the platform, as for requests.
    Given a node with simulated runners
    When the platform is unreachable and a call with an idempotency key is sent
    And the node is stopped
    Then the stop takes at most 10 of the 120 seconds of its deadline

  Scenario: An operator's call without the key
    Given a node with simulated runners
    Then every operator call without the key is refused

Feature: Explanations, status and metrics for operators

  Scenario: A routing decision is explained
    Given a node with simulated runners
    When the chat "chat-7" is sent twice
    Then its request id and its chat id return the routing decisions and reasons

  Scenario: A refusal is explained once
    Given a node with simulated runners and 1 engine
    When all engines drain and the chat "chat-7" is refused
    Then its chat id returns exactly one decision for the refusal

  Scenario: Status, readiness and metrics
    Given a node with simulated runners
    When the chat "chat-7" is sent twice
    Then the status lists nodes, runners with state and home node, and the version
    And the metrics count 2 requests that ran and list the slots of every runner

Feature: Seeing what a node does

  Scenario: A decision is explained
    Given a node with stand-ins
    When the chat "chat-7" is sent twice
    Then its request id and its chat id explain where it went and why

  Scenario: A refusal is explained once
    Given a node with stand-ins and 1 engine
    When every engine drains and the chat "chat-7" is refused
    Then its chat id explains the refusal with one decision

  Scenario: Status, readiness and metrics
    Given a node with stand-ins
    When the chat "chat-7" is sent twice
    Then the status names nodes, runners with state and home, and the version
    And the metrics count 2 requests that ran and name every runner's slots

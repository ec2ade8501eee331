Feature: Resuming a broken stream

  Scenario: The connection between node and caller breaks
    # A caller that loses its connection during a stream of two minutes would have to
    # request it again from the start if the stream had no id to request the rest with.
    Given a node with simulated runners
    When a resumable stream of 60 tokens breaks after a part of it
    And it is resumed from the last byte received
    Then both parts together are the complete response
    And no chat was run twice

  Scenario: Another team's stream
    # One team would read another's response if a token that is forged or belongs to
    # another team were accepted: a request id alone does not identify its team.
    Given a node with simulated runners
    When a resumable stream of 60 tokens breaks after a part of it
    And another team and a forged token request the rest
    Then both are refused with status 403

  Scenario: The runner no longer has the stream
    Given a node with simulated runners
    When a resumable stream of 2 tokens breaks after all of it
    And the engine discards it and it is resumed
    Then the caller receives the outcome unknown

  Scenario Outline: The connection breaks at the end of a stream
    # A caller would resume for ever if the rest lacked the mark that it has: every rest
    # would be broken off.
    Given a node with simulated runners
    When a resumable stream of 2 tokens breaks after all of it but <missing> bytes
    And it is resumed from the last byte received
    Then the rest completes the response

    Examples:
      | missing |
      | 0       |
      | 2       |
      | 5       |

  Scenario: The runner sends the rest with its length
    # The response would be longer or shorter than it says: the node asks for a part that
    # the caller has.
    Given a node with simulated runners
    And engines that resume streams with a length
    When a resumable stream of 60 tokens breaks after a part of it
    And it is resumed from the last byte received
    Then both parts together are the complete response

  Scenario: A caller claims to have more than the runner has made
    # The stream would end as complete for a caller who lacks a part of it.
    Given a node with simulated runners
    When a resumable stream of 2 tokens breaks after all of it but 0 bytes
    And it is resumed 3 bytes after the last byte received
    Then the caller receives the outcome unknown

Feature: Taking up a stream that broke

  Scenario: The connection between node and caller breaks
    # Symptom: a ruling of two minutes is asked for again from the start.
    # Sequence: the caller loses its connection in the middle of a stream.
    # Cause: without a name for the stream its rest cannot be asked for.
    Given a node with stand-ins
    When a resumable stream of 60 tokens is lost after some of it
    And it is taken up from the byte that had arrived
    Then both parts together are the whole answer
    And no chat was run twice

  Scenario: Another team's stream
    # Symptom: one team reads another's answer.
    # Sequence: a team sends a resume token that is another's or made up.
    # Cause: a request id alone does not say whose it is.
    Given a node with stand-ins
    When a resumable stream of 60 tokens is lost after some of it
    And another team and a forged token ask for it
    Then both are refused with status 403

  Scenario: The runner no longer holds the stream
    Given a node with stand-ins
    When a resumable stream of 2 tokens is lost after all of it
    And the engine forgets it and it is taken up
    Then the caller is told unknown

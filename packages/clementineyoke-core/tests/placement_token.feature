Feature: Placement tokens

  Scenario: A token counts only for its own chat
    # Symptom: one team fills a runner of its choice.
    # Sequence: a caller sends a token that it made up, or another chat's.
    # Cause: an unchecked preference goes before the chat's own order.
    Given a token that names engine-7 for a chat
    Then the chat's own token names engine-7
    And for another team, pool or chat it names nothing
    And with any one character changed it names nothing
    And after the signing key was rotated it still names engine-7

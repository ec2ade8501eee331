Feature: Placement tokens

  Scenario: A token is valid only for its own chat
    # A caller sends a forged token or one of another chat: as a preference comes before the
    # chat's own order, one team could fill a runner of its choice.
    Given a token that names engine-7 for a chat
    Then the token is read as engine-7 for that chat
    And for another team, pool or chat it is invalid
    And with any one character changed it is invalid
    And after the signing key was rotated it is still read as engine-7

Feature: Messages between nodes

  Scenario: Every message comes back as it was sent
    Then any message of each kind is the same after encoding and decoding

  Scenario: Bytes that are no message
    # Symptom: one datagram from anywhere ends a node's socket, or the whole node.
    # Sequence: random bytes, or a message with a few bytes changed, are received.
    # Cause: a decoder that raises what its caller does not expect.
    Then random bytes and damaged messages are refused or read, and nothing else

  Scenario: A datagram that no peer signed
    Given a message sealed with the key "old"
    Then a node with the keys "new, old" opens it
    And a node with the key "new" refuses it
    And with any one bit changed a node with the keys "new, old" refuses it

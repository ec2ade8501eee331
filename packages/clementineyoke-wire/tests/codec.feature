Feature: Encoding and authentication of messages between nodes

  Scenario: Every message is unchanged after encoding and decoding
    Then any message of each kind is equal after encoding and decoding

  Scenario: Received bytes are not a valid message
    # An unexpected exception of the decoder on random or corrupted bytes would close the socket or end the node.
    Then random bytes and corrupted messages are decoded or raise a WireError

  Scenario: A message is not signed with a key of the node
    Given a message signed with the key "old"
    Then a node with the keys "new, old" accepts it
    And a node with the key "new" refuses it
    And with any one bit changed a node with the keys "new, old" refuses it

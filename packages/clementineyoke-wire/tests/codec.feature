Feature: Encoding and authentication of messages between nodes

  Scenario: Every message is unchanged after encoding and decoding
    Then any message of each kind is equal after encoding and decoding

  Scenario: Nodes of two releases exchange messages
    # During an upgrade nodes without reports of speed run next to nodes that send them.
    Given the schema of the release before reports of speed
    Then a release of a slot by that release is read as one without a time
    And a release of a slot without a time has the same bytes as in that release
    And a release of a slot with a time is read by that release
    And that release does not read a report of speed as another message
    And a crash report by that release is read as one without parts of prompts
    And a crash record with other factors is read by that release

  Scenario: Received bytes are not a valid message
    # An unexpected exception of the decoder on random or corrupted bytes would close the socket or end the node.
    Then random bytes and corrupted messages are decoded or raise a WireError

  Scenario: A message is not signed with a key of the node
    Given a message signed with the key "old"
    Then a node with the keys "new, old" accepts it
    And a node with the key "new" refuses it
    And with any one bit changed a node with the keys "new, old" refuses it

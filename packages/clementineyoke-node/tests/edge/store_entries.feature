Feature: What other writers put into the store

  Scenario Outline: An entry that names no runner to use
    # Symptom: a node goes deaf to all changes, or calls go to nobody's address.
    # Sequence: another writer puts an entry among those of the runners.
    # Cause: entries were decoded as far as they went, and an exception of one of them
    #   ended the task that follows the runners.
    When a page holds a good entry and one with <fault>
    Then the good entry names a runner, and the other one is refused

    Examples:
      | fault                   |
      | no state                |
      | an unknown state        |
      | a number as its address |
      | an address of no host   |
      | a port out of range     |
      | a text as its slots     |
      | no service              |
      | a text as its birth     |
      | a broken birth          |
      | no sequence             |
      | a list in place of all  |
      | bytes that are no text  |

  Scenario Outline: An object that does not say which one it is
    When a page holds a good entry and an object with <fault>
    Then the page has the good entry and 1 unreadable object

    Examples:
      | fault                     |
      | no metadata               |
      | a number as its name      |
      | a text as its revision    |

  Scenario: A page with numbers that are none
    When a page holds a good entry and a content that strict JSON does not know
    Then the good entry names a runner, and the other one is refused

  Scenario: Anything may lie in the store
    Then no bytes make a decoder raise anything but the error it declares
    And nothing that lies beside a good entry hides it

  Scenario: A good entry turns bad while a node watches
    Given a fleet of 1 node and 2 runners
    When another writer puts a number in place of the address of runner 0
    Then the node knows 1 runner within 1 s, and calls are still served
    When runner 0 enters itself again
    Then the node knows 2 runners within 2 s

  Scenario: A runner starts anew under its id and address
    # Symptom: a call that must not run twice is lost on a connection to what was there.
    # Sequence: a runner answers, dies and is back at the same address under the same
    #   id; the next call takes the connection that was kept.
    # Cause: connections were kept by address, whoever was there.
    Given a fleet of 1 node and 1 runner
    And runner 0 resets what comes on a connection that has rested
    When a caller makes a "non_idempotent" call
    And runner 0 starts anew under its id
    And a caller makes a "non_idempotent" call
    Then the caller gets 200 from a connection of the new lifetime

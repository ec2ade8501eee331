Feature: Invalid objects in the store

  Scenario Outline: An entry that describes no usable runner
    # Guards against a node that misses all later changes, or calls an address that is not
    # a runner's: another writer adds an invalid entry, which is decoded in part or raises
    # an exception that ends the task that follows the runners.
    When a page has a valid entry and one with <fault>
    Then the valid entry describes a runner, and the other one is rejected

    Examples:
      | fault                        |
      | no state                     |
      | an unknown state             |
      | a number as its address      |
      | an address without an IP     |
      | a port out of range          |
      | an underscore in its port    |
      | a sign before its port       |
      | a space before its port      |
      | a line end after its port    |
      | wide digits as its port      |
      | a port of 5000 digits        |
      | a string as its slots        |
      | no service                   |
      | a string as its start time   |
      | a fraction as its start time |
      | no sequence                  |
      | a list instead of an object  |
      | bytes that are not text      |

  Scenario Outline: An object of the pools' versions that no node has written
    # Nodes that adopt any number of versions stand still with them, and do not start to serve.
    Given the object of the pools' versions has <fault>
    When 2 nodes start
    Then they replace that object within 5 s, and serve calls

    Examples:
      | fault                    |
      | 4000 levels of nesting   |
      | a text as a list         |
      | 20000 pools              |
      | 12000 versions of a pool |

  Scenario Outline: An object of a node's streams that no node has written
    # The node adopts a stream whose key no message between nodes can hold.
    When the object of a node's streams has <fault>
    Then it is refused by its name

    Examples:
      | fault                           |
      | a stream's key out of range     |
      | a stream's key below 0          |
      | a pool out of range             |
      | an underscore in a stream's key |
      | a stream of two fields          |

  Scenario Outline: An object without a valid name or revision
    When a page has a valid entry and an object with <fault>
    Then the page has the valid entry and 1 unreadable object

    Examples:
      | fault                    |
      | no metadata              |
      | a number as its name     |
      | a string as its revision |

  Scenario: A page with a NaN
    When a page has a valid entry and one that is not strict JSON
    Then the valid entry describes a runner, and the other one is rejected

  Scenario Outline: An entry of another writer that the parser rejects
    # A page that fails as a whole for one entry hides every runner from every node.
    When a page and a watch have a valid entry and one with <fault>
    Then both have the valid entry, and <unreadable> unreadable object

    Examples:
      | fault                         | unreadable |
      | half of a surrogate pair      | 0          |
      | such a half as its name       | 0          |
      | 3000 levels of nesting        | 0          |
      | 3000 levels in an unused text | 0          |
      | 3000 levels around its name   | 1          |
      | a number of 5000 digits       | 0          |
      | a number that is none         | 0          |
      | its state twice               | 0          |
      | a megabyte of nesting         | 0          |
      | a megabyte of broken text     | 0          |

  Scenario Outline: A runner's entry is replaced by one that no parser reads
    # A node that forgets the name of what it cannot read goes on calling a runner that is gone.
    When a page and a watch have a valid entry and one with <fault>
    Then both refuse the runner "bad" by its name

    Examples:
      | fault                     |
      | 3000 levels of nesting    |
      | a number of 5000 digits   |
      | a number that is none     |
      | a megabyte of nesting     |
      | a megabyte of broken text |

  Scenario: No depth of nesting leaves a decoder as another error
    # A RecursionError ends the task that follows the store; where it is raised depends on the stack.
    Then entries with 900 to 1010 levels of nesting are read or refused at each depth of the stack

  Scenario Outline: A large object with a broken text
    # The node stands still while it looks for the end of the object.
    When an object of a megabyte with <value> has a broken text as well
    Then both are decoded in a short time, with its name and the other object

    Examples:
      | value                        |
      | flat lists                   |
      | texts                        |
      | lists in lists               |
      | objects                      |
      | texts in ever deeper lists   |
      | numbers in ever deeper lists |

  Scenario: A response that ends in a text
    # The time grows with the square of the text's length.
    When a response ends in a text of 40000 escaped quotes
    Then it is refused in a short time

  Scenario: Objects beside one that the strict parser rejects
    # What is skipped may end at a bracket that is not its own.
    Then the objects beside a broken one keep their content, at any depth of nesting

  Scenario: A page that ends with an object that no parser reads
    # The list is taken for complete, and the node knows no runner of the next pages.
    When a page of one object with a megabyte of nesting has a next page
    Then the list goes on after that object

  Scenario Outline: A runner's entry turns unreadable while a node watches
    # DRAIN: the runner gets calls although its entry names none.
    Given a fleet of 1 node and 2 runners
    When another writer replaces the entry of runner 0 by one with <fault>
    Then the node knows 1 runner within 1 s, and calls are still served

    Examples:
      | fault                   |
      | 4000 levels of nesting  |
      | a number of 5000 digits |

  Scenario: Another writer adds an entry that the parser rejects while nodes serve
    # Nodes that miss all later changes go on calling runners that leave, and a node that starts
    # serves nobody.
    Given a fleet of 1 node and 2 runners
    When another writer adds an entry with half of a surrogate pair
    And runner 0 leaves
    Then the node knows 1 runner that takes calls within 2 s
    When a second node starts and reads the store
    Then it serves calls within 3 s

  Scenario: The store holds arbitrary data
    Then no input makes a decoder raise any error but the one it declares
    And no object next to a valid entry hides it

  Scenario: A valid entry becomes invalid while a node watches
    Given a fleet of 1 node and 2 runners
    When another writer replaces the address of runner 0 with a number
    Then the node knows 1 runner within 1 s, and calls are still served
    When runner 0 registers again
    Then the node knows 2 runners within 2 s

  Scenario: A runner restarts under its id and address
    # Guards against losing a call that must not run twice: a runner answers, dies and is
    # back at the same address under the same id, and the next call takes a connection
    # that was kept from before.
    Given a fleet of 1 node and 1 runner
    And runner 0 resets calls on idle connections
    When a caller makes a "non_idempotent" call
    And runner 0 restarts under its id
    And a caller makes a "non_idempotent" call
    Then the caller gets 200 on a connection of the new lifetime

Feature: Brittle runners

  Runners say in their answers that they fall over if they have to reject more than some calls
  in a second for want of room, and let none wait meanwhile.

  Scenario Outline: A surge on brittle runners
    # Homes that count on a queue at each runner send twice as many calls as it executes; the
    # rejections end the runner, and its calls with it.
    Given 3 nodes and 2 brittle runners that may reject <limit> calls a second
    And each node has seen an answer of them
    When callers make 240 calls that take 0.2 s within 1.5 s
    Then no runner has fallen over
    And all calls are answered or refused as not run

    Examples:
      | limit |
      | 0     |
      | 2     |

  Scenario: A home starts again during the surge
    # The new process counts no calls, although its runners execute some.
    Given 3 nodes and 2 brittle runners that may reject 1 calls a second
    And each node has seen an answer of them
    When callers make 240 calls that take 0.2 s within 1.5 s, and a home starts again
    Then no runner has fallen over

  Scenario: The homes of the runners move while the store is away
    Given 4 nodes and 2 brittle runners that may reject 1 calls a second
    And each node has seen an answer of them
    And the store is away
    When callers make 240 calls that take 0.2 s within 1.5 s, and a home leaves
    Then no runner has fallen over

  Scenario: Runners have room for fewer calls than they have slots
    Given 3 nodes and 2 brittle runners that may reject 3 calls a second
    And each node has seen an answer of them
    And the runners execute 5 calls at once
    When callers make 240 calls that take 0.2 s within 1.5 s
    Then no runner has fallen over

  Scenario: The runners are no longer brittle
    # They let calls wait again, which a home would refuse them.
    Given 1 nodes and 1 brittle runners that may reject 2 calls a second
    And each node has seen an answer of them
    When the runners say no more that they are brittle
    And 1.2 s pass with a call each 0.2 s
    And 12 calls are made at once
    Then the runners executed up to 12 calls at once

  Scenario Outline: A header that cannot be read
    # It neither makes a pool brittle nor ends that.
    Given 1 nodes and 1 brittle runners that may reject 2 calls a second
    And each node has seen an answer of them
    When the runners send "<header>" as the limit
    And 1.2 s pass with a call each 0.2 s
    And 12 calls are made at once
    Then the runners executed up to 8 calls at once

    Examples:
      | header |
      | -1     |
      | 1.5    |
      | many   |
      | ٣      |

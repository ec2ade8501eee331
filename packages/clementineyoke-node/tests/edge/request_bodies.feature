Feature: Bodies of requests that a node holds until they are answered

  Scenario Outline: Long requests arrive faster than they are answered
    # A node that holds all of them exceeds its memory, and is killed with all its calls.
    Given a node that holds 1000000 bytes of bodies, and a runner that does not answer
    When 4 requests with bodies of 400000 bytes arrive, <framing>
    Then 2 of them reach the runner, and the others are refused as not run
    And a request with a body of 60000 bytes reaches the runner

    Examples:
      | framing     |
      | with length |
      | in chunks   |

  Scenario: Callers of long requests leave
    # Memory that is not released refuses all long requests from then on.
    Given a node that holds 1000000 bytes of bodies, and a runner that does not answer
    When 4 requests with bodies of 400000 bytes arrive, with length
    And their callers leave
    Then 2 further requests with bodies of 400000 bytes reach the runner

  Scenario: Callers announce long bodies and send nothing
    # A few such callers have the long requests of all others refused while they wait.
    Given a node that holds 1000000 bytes of bodies, and a runner that does not answer
    When 2 requests announce bodies of 500000 bytes and send none of them
    Then a request with a body of 100000 bytes reaches the runner

  Scenario: A body is larger than any that a node reads
    # Its length is known, so that nothing of it need be read.
    Given a node that holds 1000000 bytes of bodies, and a runner that does not answer
    When a request announces a body of 20000000 bytes and sends none of it
    Then it is answered with 413 at once

  Scenario Outline: The host's memory sets what is held
    # A fixed bound exceeds the memory of a small host.
    Given the settings of a node with <memory> MB and a bound of <bound>
    Then it holds <bytes> bytes of bodies

    Examples:
      | memory  | bound   | bytes    |
      | 200     | null    | 40000000 |
      | null    | null    | 60000000 |
      | 200     | 1000000 | 1000000  |

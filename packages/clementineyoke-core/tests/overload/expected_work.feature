Feature: Expected work of a route

  Scenario Outline: How many answers are known
    # A call must not be rejected on a guess.
    Given <answers> calls answered after 100 to 1000 ms, <age> s ago
    Then the expected work is <work>

    Examples:
      | answers | age | work    |
      | 19      | 0   | unknown |
      | 20      | 0   | low     |
      | 200     | 29  | low     |
      | 200     | 31  | unknown |

  Scenario: Some calls of a route are short
    # A mean would reject the short calls, which might be served in time.
    Given 36 calls answered after 1000 ms and 4 after 50 ms
    Then the expected work is 1000 ms
    Given 4 more calls answered after 50 ms
    Then the expected work is 50 ms

  Scenario: The wait for a slot counts only while it is known
    Given 40 calls answered after 100 to 1000 ms, 0 s ago
    And 30 calls that waited 300 ms for a slot
    Then a call needs 300 ms more than its work
    But 6 s later it needs its work only

  Scenario: There are more routes than are remembered
    Given 20 answers of each of 600 routes
    Then the expected work of the first 88 routes is unknown, and of all others known

Feature: Which calls a node still takes before it ends

  Scenario: Calls of a route take times of all lengths
    # A mean takes the long calls, and the end of the node cuts them.
    Given a node that answered calls after "300, 300, 300, 4000" ms
    When it has to end in 8000 ms
    Then a call after 2500 ms is taken
    And a call after 3100 ms is refused, as it takes 5000 ms of 4900 ms left

  Scenario: Work becomes longer than all answers so far
    # Short answers are remembered while the calls under way run on to their cut.
    Given a node that answered calls after "300, 300, 300" ms
    And a call has been under way for 6000 ms
    When it has to end in 8000 ms
    Then a call after 0 ms is taken
    And a call after 1000 ms is refused, as it takes 8750 ms of 7000 ms left

  Scenario Outline: Too little is known of a route's calls
    # A call of unknown length is taken and cut.
    Given a node that answered calls after "<answers>" ms
    And <silence> ms have passed
    When it has to end in 8000 ms
    Then a call after 0 ms is refused, as it takes 10000 ms of 8000 ms left

    Examples:
      | answers       | silence |
      | 300, 300      | 0       |
      | 300, 300, 300 | 600000  |

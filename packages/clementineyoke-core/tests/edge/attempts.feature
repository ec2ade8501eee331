Feature: Retries after failed attempts

  Scenario: A non-repeatable call is not retried after a lost response
    # The runner ran the call and its response was lost; a retry would make one booking
    # twice.
    Given a call that may not be repeated, for at most 3 runners
    When its attempt at "a" ends as "lost"
    Then it may not be retried
    And it may have run

  Scenario Outline: A non-repeatable call that provably did not run is retried
    Given a call that may not be repeated, for at most 2 runners
    When its attempt at "a" ends as "<end>"
    Then it may be retried
    And it did not run

    Examples:
      | end      |
      | not_sent |
      | refused  |

  Scenario: A refusal after a lost response does not prove that the call did not run
    # If only the last attempt counted, the caller would be told that its call did not
    # run although the first runner may have run it.
    Given a call that may be repeated, for at most 2 runners
    When its attempt at "a" ends as "lost"
    And its attempt at "b" ends as "refused"
    Then it may not be retried
    And it may have run

  Scenario: Only attempts that were sent count towards the operator's limit of runners
    Given a call that may be repeated, for at most 2 runners
    When its attempt at "a" ends as "not_sent"
    And its attempt at "b" ends as "failed"
    Then it may be retried
    When its attempt at "c" ends as "lost"
    Then it may not be retried

  Scenario: Refused connections are limited as well
    # After the loss of a zone every connection is refused. If attempts that sent nothing
    # were not counted, a call would try dead runners until its deadline.
    Given a call that may be repeated, for at most 2 runners
    When 4 attempts end as "not_sent"
    Then it may not be retried
    And it did not run

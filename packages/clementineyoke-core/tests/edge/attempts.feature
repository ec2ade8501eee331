Feature: What may follow a failed attempt

  Scenario: A call that may not be repeated loses its answer
    # Symptom: one booking is made twice.
    # Sequence: the runner runs the call, its answer is lost, the call is sent again.
    # Cause: a lost answer was taken for a call that did not run.
    Given a call that may not be repeated, for at most 3 runners
    When its attempt at "a" ends as "lost"
    Then it may not be tried again
    And it may have run

  Scenario Outline: A call that provably did not run goes on
    Given a call that may not be repeated, for at most 2 runners
    When its attempt at "a" ends as "<end>"
    Then it may be tried again
    And it surely did not run

    Examples:
      | end      |
      | not_sent |
      | refused  |

  Scenario: A refusal after a lost answer is no proof
    # Symptom: a caller is told that its call did not run, and it did.
    # Sequence: the first runner's answer is lost, the second one refuses.
    # Cause: only the last attempt was looked at.
    Given a call that may be repeated, for at most 2 runners
    When its attempt at "a" ends as "lost"
    And its attempt at "b" ends as "refused"
    Then it may not be tried again
    And it may have run

  Scenario: The operator's limit of runners counts what was sent
    Given a call that may be repeated, for at most 2 runners
    When its attempt at "a" ends as "not_sent"
    And its attempt at "b" ends as "failed"
    Then it may be tried again
    When its attempt at "c" ends as "lost"
    Then it may not be tried again

  Scenario: No runner takes a connection
    # Symptom: a call tries dead runners until its time is up.
    # Sequence: a zone is lost, every connection is refused.
    # Cause: attempts that sent nothing were not counted at all.
    Given a call that may be repeated, for at most 2 runners
    When 4 attempts end as "not_sent"
    Then it may not be tried again
    And it surely did not run

Feature: Retry budget

  Scenario: All requests fail at first
    # A zone is lost, every request fails and is sent again up to three times: a limit per
    # request alone does not prevent a second wave of failures.
    Given a retry budget of a tenth with 20 saved
    When 1000 requests fail and each wants 2 retries
    Then about 120 retries were allowed

  Scenario: Occasional failures
    Given a retry budget of a tenth with 20 saved
    When 1 request in 20 of 1000 fails and wants 1 retry
    Then every retry was allowed

Feature: Retry budget

  Scenario: All requests fail at first
    # Symptom: a second wave of failures after a zone was lost.
    # Sequence: every request fails and is sent again, up to three times.
    # Cause: retries were bounded for each request, not for all of them.
    Given a retry budget of a tenth with 20 saved
    When 1000 requests fail and each wants 2 retries
    Then about 120 retries were allowed

  Scenario: A failure now and then
    Given a retry budget of a tenth with 20 saved
    When 1 request in 20 of 1000 fails and wants 1 retry
    Then every retry was allowed

Feature: A shard's home with a failing platform

  Scenario: The reply to a write is lost
    # A claim is stored but the reply to the write is lost; unless the home recognises its
    # own claim, a door is opened twice or its driver is told "not run" though it opened.
    Given a shard task whose next 1 write replies are lost
    When holders A and B claim the same key
    Then exactly one of them is granted and the other gets unknown

  Scenario: Two nodes believe that they are the home
    # Membership views differ for seconds and each home gets one claim of a key; unless
    # the object's version alone decides, the request runs twice.
    Given two shard tasks on one object
    When 40 keys are claimed at both at once
    Then each key is granted exactly once

  Scenario: The platform is unavailable
    # Claims queue up at the home during an outage; one that its holder has abandoned must
    # not be stored later, and callers must not wait for minutes.
    Given a shard task whose platform is unavailable
    When holder A claims a key, times out, and the platform recovers
    Then holder A is never granted
    And holder B is granted the same key

  Scenario: Reports are written together with claims
    Given a shard task
    When 20 holders claim and report one after the other within 2 seconds
    Then the task has written at most 25 times

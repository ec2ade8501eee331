Feature: A shard's home against a failing platform

  Scenario: The reply of a write is lost
    # Symptom: a door is opened twice, or its driver is told "not run" though it opened.
    # Sequence: a claim's update takes effect, its reply is lost; the caller repeats.
    # Cause: the home must find its own claim again and grant it to its holder only.
    Given a shard task whose next 1 write replies are lost
    When holders A and B ask for the same key
    Then exactly one of them is granted and the other is told unknown

  Scenario: Two nodes believe that they are the home
    # Symptom: one key, two executions.
    # Sequence: membership views differ for seconds; each home takes one ask.
    # Cause: nothing but the object's version may decide between them.
    Given two shard tasks on one object
    When 40 keys are asked for at both at once
    Then each key is granted exactly once

  Scenario: The platform is away
    # Symptom: callers wait for minutes while the platform is down.
    # Sequence: an outage begins; asks pile up at the home.
    # Cause: an ask that its holder has given up on must not become durable later.
    Given a shard task whose platform is away
    When holder A asks, gives up, and the platform comes back
    Then holder A is never granted
    And holder B is granted the same key

  Scenario: Reports ride along
    Given a shard task
    When 20 holders ask and report one after the other within 2 seconds
    Then the task has written at most 25 times

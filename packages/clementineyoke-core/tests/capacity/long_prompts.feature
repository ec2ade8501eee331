Feature: Long prompts on few engines

  # The pattern is a burst of long prompts: for 4 s, a call every 25 ms brings one of many
  # documents of 10,512 shared and 1,300 own tokens and holds its slot for 2.5 s after its
  # prefill. Next to it, an urgent call of 829 tokens with an objective of 419 ms arrives
  # every 20 ms. Engines have 64 slots, 406,728 tokens of memory and process 56.9 prompt
  # tokens per ms; the load bound is 1.9 times the mean load and 3 slots.

  Scenario: Memory is never overfilled
    # Slots alone let 64 calls of 11,900 tokens on an engine that holds 34 of them.
    Given a burst of long prompts on 2 engines with 400 documents, with token rules
    Then no engine ever holds more than 0.9 of its memory
    # A rule that refuses calls that fit would pass the first check.
    And some engine holds more than 0.8 of its memory
    And without token rules some engine holds more than all of its memory

  Scenario: Urgent calls wait less behind the prefill of others
    # Urgent calls miss their objective on an engine that processes several documents, while
    # others are idle. In this burst 62 of 100 are in time without the rules.
    Given a burst of long prompts on 6 engines with 100 documents, with token rules
    Then nine tenths of the urgent calls wait for less than half of their objective
    And without token rules less than seven tenths of them do

  Scenario: Prompts stay on the runners that have them
    # Spreading a document over all engines multiplies the work on it.
    Given a burst of long prompts on 6 engines with 6 documents, with token rules
    Then a document is processed on 2 engines or fewer on average

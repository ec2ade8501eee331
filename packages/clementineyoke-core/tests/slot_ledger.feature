Feature: Exact count of slots at a runner's home

  Scenario: A repeated ask takes one slot
    Given a ledger with leases of 15000 ms
    When node-1 asks twice for the same request under a bound of 2
    Then 1 slot is in use

  Scenario: At the bound the home refuses and names the load
    Given a ledger with leases of 15000 ms
    When 2 requests hold slots under a bound of 2
    Then a third is refused with a load of 2

  Scenario: Lost release
    # Symptom: an idle runner is refused more and more.
    # Sequence: a request ends, its release is lost, nobody renews the grant.
    # Cause: a grant without an end would be counted for ever.
    Given a ledger with leases of 15000 ms
    When 2 requests hold slots under a bound of 2
    And one of them renews after 10000 ms and the other never
    Then after 16000 ms 1 slot is in use

  Scenario: A home restarts with requests running
    # Symptom: a runner gets twice its bound after its home was replaced.
    # Sequence: grants are out, the home dies, the next home starts with no counts.
    # Cause: only the holders know what runs; the new home must learn it from them.
    Given a ledger with leases of 15000 ms
    When another ledger takes over and 2 holders renew there
    Then a third is refused with a load of 2

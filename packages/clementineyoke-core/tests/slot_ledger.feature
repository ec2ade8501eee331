Feature: Exact count of slots at a runner's home

  Scenario: A repeated request takes one slot
    Given a ledger with leases of 15000 ms
    When node-1 requests a slot twice for the same call under a bound of 2
    Then 1 slot is in use

  Scenario: At the bound the home refuses and reports the load
    Given a ledger with leases of 15000 ms
    When 2 calls hold slots under a bound of 2
    Then a third call is refused with a load of 2

  Scenario: Lost release
    # A call ends and its release is lost: a grant that never expires is counted for good,
    # and an idle runner refuses more and more calls.
    Given a ledger with leases of 15000 ms
    When 2 calls hold slots under a bound of 2
    And one of them renews after 10000 ms and the other never does
    Then after 16000 ms 1 slot is in use

  Scenario: A home restarts while calls are running
    # The next home starts without counts, and only the holders know which calls run: it
    # admits up to twice the bound unless it learns of them from the renewals.
    Given a ledger with leases of 15000 ms
    When a new ledger takes over and 2 holders renew there
    Then a third call is refused with a load of 2

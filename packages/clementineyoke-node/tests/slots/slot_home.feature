Feature: The home of a runner

  Scenario: A requester does not know that a runner is leaving
    # A node suspended while a runner leaves asks for a slot on it seconds later; a home
    # that only counts slots would send new work to the leaving runner.
    Given a home whose host list shows a runner as leaving
    When another node requests a slot on it
    Then the request is refused

  Scenario: A node restarts while its old grants are active
    # Ask IDs counted up from the start time ran ahead of the clock at 13 requests a second;
    # restarted after 1,000 seconds, a node reused IDs of active grants, left uncounted.
    Given a home with 4 slots free and a node that has made 13000 requests
    When the node restarts after 1000 seconds and makes 4 requests
    Then the last grants of the old process and the 4 new ones are all counted

  Scenario: A queued request is granted when a slot becomes free
    Given a home whose runner has its 1 slot in use
    When another node queues for a slot on it
    Then it is granted once the slot is released, and not before

  Scenario: A cancelled request is not granted
    Given a home whose runner has its 1 slot in use
    When another node queues for a slot on it and cancels
    Then the released slot stays free

  Scenario: Nodes report failures of a runner
    # Three nodes see one failure each; unless all are counted in one place, the faulty
    # runner keeps receiving chats.
    Given a home whose runner has its 1 slot free
    When 3 nodes report a failure of it
    Then a request for it is refused as paused
    But the last request of a search is granted

  Scenario: Nodes cannot connect to a runner
    # If only failures of started calls are reported to the home, an unreachable runner
    # receives calls until each node has failed to connect to it.
    Given a home whose runner has its 1 slot free
    When 2 nodes report that they cannot connect to it
    Then a request for it is refused as paused

  Scenario: An unreachable runner returns before its entry reports the restart
    # A runner that restarts under its ID while the store is unavailable was treated as
    # warm, and the calls sent once a node could connect crashed it again within a second.
    Given a home whose runner has 8 slots and accepts 4 calls a second while cold
    When 2 nodes report that they cannot connect to it
    And 1.1 s later 6 nodes request it, each after the previous one is answered
    Then 1 of them gets a slot

  Scenario: A runner answers between two reports
    Given a home whose runner has its 1 slot free
    When a node reports a failed connection, another is answered, and a third reports one
    Then a request for it is granted

  Scenario: The demand for a runner
    # The pressure of a pool counts waiting calls, and no slots of runners that take none.
    Given a home whose runner has its 1 slot in use
    When another node queues for a slot on it
    Then the home counts 1 call in use and 1 queued for its 1 slot
    When 3 nodes report a failure of it
    Then the home counts no runner that accepts calls

  Scenario Outline: A pool that does not call for admission by priority
    # A pool whose routes have one priority must get the same grants as before.
    Given the same 600 requests, renewals, releases and queued calls, seed <seed>
    When a home with the rule of admission by priority and one without it receive them
    Then both homes reply the same

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

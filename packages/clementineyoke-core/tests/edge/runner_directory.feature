Feature: Runners' entries in a store outage

  Scenario: Entries lapse in a store outage
    # The outage is longer than the runners' leases, so the store has no entries when it
    # recovers. If lapsed entries were removed at once, the fleet would refuse all calls for
    # seconds after each outage.
    Given a directory with the runners a, b
    And the store recovered at 10000 ms
    When an empty list of runners arrives at 10100 ms
    Then the runners in use are a, b
    When the entry of a comes back at 11000 ms
    And lapsed entries are dropped at 13000 ms
    Then the runners in use are a

  Scenario: An entry ends while the store is available
    Given a directory with the runners a, b
    When the entry of a ends at 60000 ms
    Then the runners in use are b

  Scenario: A leaving runner is not kept after its entry lapses
    Given a directory with the runners a, b
    And b reports that it is leaving
    And the store recovered at 10000 ms
    When an empty list of runners arrives at 10100 ms
    Then the runners in use are a

  Scenario: A peer sends an older list
    # A peer that was cut off sends its old list. If the last list to arrive won, new work
    # would go to a runner that has left.
    Given a directory with the runners a, b
    When the entry of a ends at 60000 ms
    And a peer sends the old list with a, b at 60100 ms
    Then the runners in use are b

  Scenario: A peer that reaches the store first sends its list
    # Entries lapse in an outage. A peer reaches the store first, keeps them as lapsed and
    # sends its list while this node still finds the store unreachable. If this node took the
    # missing entries for ended, it would refuse all calls for a second after the outage.
    Given a directory with the runners a, b
    And the store is unreachable
    When an empty list of runners arrives at 10100 ms
    Then the runners in use are a, b
    When the store recovers at 11000 ms
    And lapsed entries are dropped at 13199 ms
    Then the runners in use are a, b
    When lapsed entries are dropped at 13200 ms
    Then no runner is in use

  Scenario: A node that has just started gets a peer's lapsed entries
    Given a directory with the runners a, b
    And the store recovered at 10000 ms
    When an empty list of runners arrives at 10100 ms
    And a new node gets the list at 10200 ms
    Then the new node's runners are a, b until 12200 ms

  Scenario: A peer that was cut off waits for a runner that has left
    # An entry ends while the store is available. A node that was cut off takes it for lapsed
    # and sends its list, one change newer. If a node that has seen the end itself adopted the
    # lapsed entry, a call would reach the runner 2.2 s after the end of its entry.
    Given a directory with the runners a, b
    When the entry of a ends at 60000 ms
    And a peer that waits for a sends a newer list with b at 60900 ms
    Then the runners in use are b

  Scenario: A node starts in an outage and reads the store after it
    # The node gets a peer's list in the outage. The store recovers without the lapsed entries
    # before this node has seen the outage itself. If the list did not say that its sender was
    # in an outage, the node would have no runners for two seconds. Found by the model checker
    # (runner_entries_spec).
    Given a directory with the runners a, b
    And the store is unreachable
    When a new node gets the list and reads an empty one at 10200 ms
    Then the new node's runners are a, b until 12300 ms

  Scenario: The end of an entry is reported late
    # An entry ends and comes back; a peer reports both. This node's own watch began before
    # and then shows only the end. If changes counted in order of arrival, the runner would get
    # no calls until its entry's next change.
    Given a directory with the runners a, b
    When the entry of a ends at 60000 ms
    And the entry of a comes back at 61000 ms
    And the earlier end of a is reported late at 61100 ms
    Then the runners in use are a, b

  Scenario: A peer reports an entry that lapsed in an outage
    # A watcher sees the entry lapse in an outage and reports it to its zone. If the report did
    # not say that the runner may return, nodes that do not watch the store would refuse all
    # calls after the outage.
    Given a directory with the runners a, b
    When a peer reports at 60000 ms that the entry of a lapsed
    Then the runners in use are a, b
    When lapsed entries are dropped at 62500 ms
    Then the runners in use are b

  Scenario: A datagram with changes is lost
    Given a directory with the runners a, b
    Then changes from revision 10 to 12 are contiguous with it
    And changes from revision 11 to 12 are not contiguous with it
    And changes from revision 0 to 12 are not contiguous with an empty directory

  Scenario: Two peers report one end, and one of them was cut off
    # A watcher that was cut off sees the end and takes it for a lapse. Its report arrives
    # before that of a watcher that saw the end while the store was available. If the entry
    # stayed lapsed, a call would reach the runner 2.2 s after the end of its entry.
    Given a directory with the runners a, b
    When a peer reports at 60000 ms that the entry of a lapsed
    And a peer that saw the end of a reports it at 60005 ms
    Then the runners in use are b

  Scenario: A peer that did not notice an outage reports an end
    Given a directory with the runners a, b
    And the store recovered at 60000 ms
    When a peer reports at 60100 ms that the entry of a lapsed
    And a peer that saw the end of a reports it at 60105 ms
    Then the runners in use are a, b

  Scenario: An old report of an entry that has lapsed
    # A watcher that was cut off reports the entry as it was before it lapsed, and the report of
    # its end is lost. If any report of the entry counted as its return, a runner that is gone
    # would get calls forever.
    Given a directory with the runners a, b
    When a peer reports at 60000 ms that the entry of a lapsed
    And a peer reports at 60100 ms the entry of a as it was at the start
    And lapsed entries are dropped at 62500 ms
    Then the runners in use are b

  Scenario: A runner leaves soon after this node alone was cut off from the store
    # The node is cut off for 12 s and notices the end of the cut 340 ms late. 0.7 s later an
    # entry ends, as of a runner that leaves without notice. If whatever ended within 2.5 s of
    # the node's return were kept for the rest of that time, and checked every 250 ms only,
    # calls would reach the runner 2.04 to 2.18 s after its leaving was acknowledged.
    Given a directory with the runners a, b
    And the store recovered at 13340 ms
    When the entry of a ends at 14008 ms
    And lapsed entries are dropped at 15408 ms
    Then the runners in use are b

  Scenario: A watcher that was cut off reports an end that it has just seen
    # A watcher waits 1.4 s for a runner and reports this 0.4 s later. If the report said that
    # the entry has lapsed but not how much longer to wait, a node that was never cut off would
    # wait as long from then on, and calls would reach the runner 2.2 s after its entry's end.
    Given a directory with the runners a, b
    When a peer reports at 60400 ms that it waits 1000 ms more for a
    And lapsed entries are dropped at 61400 ms
    Then the runners in use are b

  Scenario: A runner restarts under its id
    # The runner reports that it is leaving, ends and restarts under its id; the store makes the
    # old lifetime's last write after the new one's entry. If records were compared by id and
    # address and any newer one won, the new runner would get no calls until its next change.
    Given a directory with the runners a, b
    When a, started at 5000, writes its entry at 20000 ms
    And a, started at 9000, writes its entry at 30000 ms
    And a, started at 5000, reports at 30100 ms that it is leaving
    Then a is in use, started at 9000 and not leaving

  Scenario: The previous lifetime's entry ends after the new one has started
    # A late write of the old lifetime replaces the new one's entry and lapses. If the end of an
    # entry ended any lifetime of its id, a runner that has just started would be dropped.
    Given a directory with the runners a, b
    When a, started at 9000, writes its entry at 30000 ms
    And at 33000 ms the entry of a, started at 5000, ends
    Then the runners in use are a, b
    When a, started at 9000, writes its entry at 33900 ms
    And lapsed entries are dropped at 40000 ms
    Then the runners in use are a, b

  Scenario: A runner's entry is overwritten by another writer
    # If entries that can't be decoded were skipped, the old record would stay in use and calls
    # would go to an address that the entry no longer has.
    Given a directory with the runners a, b
    And the store recovered at 10000 ms
    When the entry of a becomes unusable at 10100 ms
    Then the runners in use are b

  Scenario: A report of an entry arrives after that of its end
    # Two datagrams of a watcher are reordered; the entry ends in the second. If an unknown entry
    # always counted as new, the runner would get calls until the next complete list. Found by
    # the model checker (runner_lifetimes_spec).
    Given a directory with the runners a, b
    When the entry of a ends at 60000 ms
    And a peer reports at 60100 ms the entry of a as it was at the start
    Then the runners in use are b

  Scenario: A peer that cannot reach the store sends its lapsed entries
    # Guards against calls to a leaving runner for all the time that a peer waits for it.
    Given a directory with the runners a, b
    When a peer that waits for a sends a newer list with b at 60000 ms
    And lapsed entries are dropped at 61400 ms
    Then the runners in use are b

  Scenario: Only one node cannot reach the store when an entry ends
    # Guards against treating one node's lost connection as a store outage.
    Given a directory with the runners a, b
    And the store is unreachable
    And the store answered a peer at 57000 ms
    And the store answered a peer at 58400 ms
    And the store answered a peer at 59500 ms
    When the entry of a ends at 60000 ms
    Then the runners in use are b

  Scenario: The store answers no peer when an entry ends
    # Guards against dropping runners whose entries lapsed in an outage.
    Given a directory with the runners a, b
    And the store answered a peer at 59500 ms
    And the store is unreachable
    When the entry of a ends at 60000 ms
    Then the runners in use are a, b

  Scenario: An outage begins while only one node cannot reach the store
    # Guards against dropping lapsed entries after the store stops answering peers.
    Given a directory with the runners a, b
    And the store is unreachable
    And the store answered a peer at 52000 ms
    And the store answered a peer at 53400 ms
    And the store answered a peer at 54800 ms
    When the entry of a ends at 60000 ms
    Then the runners in use are a, b
    When the store answers a peer at 60000 ms
    And the entry of b ends at 60100 ms
    Then the runners in use are a, b

  Scenario: The store answers a peer first after an outage
    # Guards against dropping lapsed entries at a node whose own calls still fail.
    Given a directory with the runners a, b
    And the store answered a peer at 55000 ms
    And the store is unreachable
    When the store answers a peer at 60000 ms
    And the entry of a ends at 60500 ms
    Then the runners in use are a, b
    When the store recovers at 60600 ms
    And lapsed entries are dropped at 62799 ms
    Then the runners in use are a, b
    When lapsed entries are dropped at 62800 ms
    Then the runners in use are b

  Scenario: Two kinds of calls succeed again after only one node lost the store
    # Guards against waiting for a runner when there was no store outage.
    Given a directory with the runners a, b
    And the store is unreachable
    And the store answered a peer at 57000 ms
    And the store answered a peer at 58400 ms
    And the store answered a peer at 59500 ms
    When the store recovers at 60000 ms
    And the store recovers at 60300 ms
    And the entry of a ends at 60310 ms
    Then the runners in use are b

  Scenario Outline: A call fails once while the store is well
    # Guards against keeping a runner whose entry has ended because of one failed call.
    Given a directory with the runners a, b
    And a call has had no answer since <since> ms
    And the store recovered from it at <recovered> ms
    When the entry of a ends at 60000 ms
    Then the runners in use are b

    Examples:
      | since | recovered |
      | 59930 | 59990     |
      | 59500 | 59990     |
      | 57900 | 58390     |

  Scenario: Another kind of call succeeds while one fails
    # Guards against taking a call whose answers are lost for an outage.
    Given a directory with the runners a, b
    And a call has had no answer since 50000 ms
    And the store answered this node at 50400 ms
    And a call has had no answer since 50000 ms
    And the store recovered from it at 50800 ms
    When the entry of a ends at 50810 ms
    Then the runners in use are b

  Scenario: A watch that did not fail is the first to be answered after an outage
    # Guards against taking entries that it shows as lapsed for ended, and dropping their
    # runners before they have had time to renew them.
    Given a directory with the runners a, b
    And a call has had no answer since 50000 ms
    And the store answered this node at 54000 ms
    When the entry of a ends at 54000 ms
    And lapsed entries are dropped at 56199 ms
    Then the runners in use are a, b
    When lapsed entries are dropped at 56200 ms
    Then the runners in use are b

  Scenario: The answers to a read and to its repetition are lost
    # Guards against keeping a runner for an outage that was too short for entries to lapse.
    Given a directory with the runners a, b
    And the store answered this node at 50130 ms
    And a call has had no answer since 50000 ms
    And the store recovered from it at 50750 ms
    When the entry of a ends at 50760 ms
    Then the runners in use are b

  Scenario Outline: The read at the end of lapsed entries' time is overdue
    # Guards against dropping a runner whose entry has been renewed, and against keeping one
    # that is gone.
    Given a directory with the runners a, b
    When the store is away from 10000 ms to 14000 ms, and the entry of a has lapsed
    And lapsed entries are dropped at <now> ms, with the latest read at <read> ms
    Then the runners in use are <runners>

    Examples:
      | now   | read  | runners |
      | 16201 | 16199 | a, b    |
      | 16201 | 16200 | b       |
      | 17199 | 16199 | a, b    |
      | 17200 | 16199 | b       |

  Scenario: An end that was seen while the store was well waits for no read
    # Guards against calls to a leaving runner later than the operator's bound.
    Given a directory with the runners a, b
    And the store recovered at 13340 ms
    When the entry of a ends at 14008 ms
    And lapsed entries are dropped at 15408 ms, with the latest read at 15000 ms
    Then the runners in use are b

  Scenario: An outage begins amid answers to peers, and a peer is the first to be answered
    # Guards against dropping a runner whose entry has lapsed, as if only this node's calls
    # had failed.
    Given a directory with the runners a, b
    And the store answered a peer at 50826 ms
    And a call has had no answer since 50826 ms
    And the store answered a peer at 50854 ms
    And the store answered a peer at 52953 ms
    When the entry of a ends at 52954 ms
    Then the runners in use are a, b

  Scenario: The store recovers from short failures again and again
    # Guards against a lapsed entry whose time begins anew with each of them.
    Given a directory with the runners a, b
    When the store is away from 10000 ms to 14000 ms, and the entry of a has lapsed
    And a call fails at 14500 ms, and at every 500 ms after it, for 60 ms
    And lapsed entries are dropped at 16199 ms
    Then the runners in use are a, b
    When lapsed entries are dropped at 16200 ms
    Then the runners in use are b

  Scenario: Outages follow each other
    # Guards against both dropping a runner that has had no time to return, and keeping
    # one that has had it.
    Given a directory with the runners a, b
    When the store is away from 10000 ms to 14000 ms, and the entry of a has lapsed
    And the store is away from 15500 ms to 18500 ms
    And the store is away from 20000 ms to 23000 ms
    And lapsed entries are dropped at 25199 ms
    Then the runners in use are a, b
    When the store is away from 25199 ms to 28200 ms
    And lapsed entries are dropped at 28201 ms
    Then the runners in use are b

  Scenario: The time of a lapsed entry ends in the next outage
    # Guards against dropping a runner that cannot renew its entry yet.
    Given a directory with the runners a, b
    When the store is away from 10000 ms to 14000 ms, and the entry of a has lapsed
    And a call has had no answer since 15000 ms
    And lapsed entries are dropped at 16300 ms
    Then the runners in use are a, b

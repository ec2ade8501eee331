Feature: Runners' entries through an outage of the store

  Scenario: Entries lapse while the store is away
    # Symptom: the fleet refuses everything for seconds after each outage.
    # Sequence: the store is away longer than runners' leases, returns, and shows none.
    # Cause: a lapsed entry was taken for the end of its runner.
    Given a directory with the runners a, b
    And the store returned at 10000 ms
    When a list with no runners comes at 10100 ms
    Then the runners in force are a, b
    When the entry of a comes back at 11000 ms
    And lapsed entries are dropped at 13000 ms
    Then the runners in force are a

  Scenario: An entry ends while the store is well
    Given a directory with the runners a, b
    When the entry of a ends at 60000 ms
    Then the runners in force are b

  Scenario: A runner that said that it leaves is not waited for
    Given a directory with the runners a, b
    And b says that it is leaving
    And the store returned at 10000 ms
    When a list with no runners comes at 10100 ms
    Then the runners in force are a

  Scenario: An older list comes from a peer
    # Symptom: new work on a runner that has left.
    # Sequence: a peer that was cut off hands over its old list.
    # Cause: lists were taken in the order of their arrival.
    Given a directory with the runners a, b
    When the entry of a ends at 60000 ms
    And the old list with a, b comes from a peer at 60100 ms
    Then the runners in force are b

  Scenario: A peer that is back sooner hands over its list
    # Symptom: a node refuses everything for a second after an outage of the store.
    # Sequence: entries lapse in the outage; a peer reaches the store first, holds them
    #   as lapsed and hands over its list; this node still finds the store away.
    # Cause: the list left lapsed entries out, and this node, which had not seen the
    #   outage's end, took them for ended.
    Given a directory with the runners a, b
    And the store is away
    When a list with no runners comes at 10100 ms
    Then the runners in force are a, b
    When the store returns at 11000 ms
    And lapsed entries are dropped at 13199 ms
    Then the runners in force are a, b
    When lapsed entries are dropped at 13200 ms
    Then no runner is in force

  Scenario: A node that has just started takes over what a peer waits for
    Given a directory with the runners a, b
    And the store returned at 10000 ms
    When a list with no runners comes at 10100 ms
    And a new node takes over the list at 10200 ms
    Then the new node's runners are a, b until 12200 ms

  Scenario: A peer that was cut off waits for a runner that has left
    # Symptom: a call reaches a runner 2.2 s after the end of its entry.
    # Sequence: an entry ends while the store is well; a node that was cut off learns of
    #   it and takes it for lapsed; it hands its list, one change newer, to this node.
    # Cause: entries that a peer waits for were taken over also by a node that had seen
    #   their end itself.
    Given a directory with the runners a, b
    When the entry of a ends at 60000 ms
    And a peer that waits for a hands over a newer list with b at 60900 ms
    Then the runners in force are b

  Scenario: A node starts in the outage and reads the store after it
    # Symptom: a restarted node has no runner for two seconds after an outage.
    # Sequence: it starts while the store is away and takes a peer's list; the store
    #   returns without the lapsed entries before this node has met the outage itself.
    # Cause: the list did not say that its sender found the store away. Found by the
    #   model checker (runner_entries_spec).
    Given a directory with the runners a, b
    And the store is away
    When a new node takes over the list, and reads an empty one at 10200 ms
    Then the new node's runners are a, b until 12300 ms

  Scenario: The word of an end comes late
    # Symptom: a runner that is back gets no calls until the next change.
    # Sequence: its entry ends and comes back; a peer tells of both; the own watch, begun
    #   before, then shows the end alone.
    # Cause: ends were taken in the order of their arrival.
    Given a directory with the runners a, b
    When the entry of a ends at 60000 ms
    And the entry of a comes back at 61000 ms
    And the end of a that came before its return is told at 61100 ms
    Then the runners in force are a, b

  Scenario: A peer tells of an entry that lapsed in an outage
    # Symptom: nodes that do not watch the store refuse everything after an outage.
    # Sequence: a watcher sees the entry of a lapse in an outage, and tells its zone.
    # Cause: the news did not say that the runner may yet return.
    Given a directory with the runners a, b
    When a peer tells at 60000 ms that the entry of a lapsed
    Then the runners in force are a, b
    When lapsed entries are dropped at 62500 ms
    Then the runners in force are b

  Scenario: A datagram with changes is lost
    Given a directory with the runners a, b
    Then changes from revision 10 to 12 follow on it
    And changes from revision 11 to 12 do not follow on it
    And changes from revision 0 to 12 do not follow on an empty directory

  Scenario: Two peers tell of one end, and one of them was cut off
    # Symptom: a call reaches a runner 2.2 s after its entry has ended.
    # Sequence: a watcher that was cut off is back, sees the entry end and takes it for a
    #   lapse; it tells so before a watcher that saw the end with the store well.
    # Cause: an entry that was held as lapsed stayed so, whatever was told of it later.
    Given a directory with the runners a, b
    When a peer tells at 60000 ms that the entry of a lapsed
    And a peer that saw the end of a tells of it at 60005 ms
    Then the runners in force are b

  Scenario: A peer that slept through an outage tells of an end
    Given a directory with the runners a, b
    And the store returned at 60000 ms
    When a peer tells at 60100 ms that the entry of a lapsed
    And a peer that saw the end of a tells of it at 60105 ms
    Then the runners in force are a, b

  Scenario: Old news of an entry that has lapsed
    # Symptom: a runner that is gone gets calls for good.
    # Sequence: its entry lapses; a watcher that was cut off catches up and tells of the
    #   entry as it was before; what it tells of the end is lost.
    # Cause: any word of an entry was taken for the runner's return.
    Given a directory with the runners a, b
    When a peer tells at 60000 ms that the entry of a lapsed
    And a peer tells at 60100 ms of the entry of a as it was at the start
    And lapsed entries are dropped at 62500 ms
    Then the runners in force are b

  Scenario: A runner leaves soon after this node's own cut from the store
    # Symptom: calls reach a runner 2.04 to 2.18 s after its leaving was acknowledged.
    # Sequence: a node alone is cut off from the store for 12 s and notices the end of
    #   the cut 340 ms late; 0.7 s later an entry ends, as of a runner that leaves
    #   without a word; the node waits for its return.
    # Cause: what ended within 2.5 s of the node's return was held for the rest of that
    #   time, however late it was seen to end, and looked at every 250 ms only.
    Given a directory with the runners a, b
    And the store returned at 13340 ms
    When the entry of a ends at 14008 ms
    And lapsed entries are dropped at 15408 ms
    Then the runners in force are b

  Scenario: A watcher that was cut off tells of an end that it has just seen
    # Symptom: calls reach a runner 2.2 s after its entry has ended.
    # Sequence: a watcher waits 1.4 s for a runner; it tells so 0.4 s later; a node that
    #   was never cut off waits as long from then on.
    # Cause: news said that an entry had lapsed, not how much longer to wait.
    Given a directory with the runners a, b
    When a peer tells at 60400 ms that it waits 1000 ms more for a
    And lapsed entries are dropped at 61400 ms
    Then the runners in force are b

  Scenario: A runner starts anew under its id
    # Symptom: a new runner gets no calls until its next change.
    # Sequence: it says that it leaves, ends, and is back at once under the same id; the
    #   store does the old lifetime's last write late, after the new one's entry.
    # Cause: entries were compared by id and address, and any newer one was believed.
    Given a directory with the runners a, b
    When a, born at 5000, enters itself at 20000 ms
    And a, born at 9000, enters itself at 30000 ms
    And a, born at 5000, says at 30100 ms that it is leaving
    Then a is in force, born at 9000 and not leaving

  Scenario: The old lifetime's entry ends when the new one is there
    # Symptom: a runner that has just started is dropped from the fleet.
    # Sequence: a late write of the old lifetime takes the new one's entry; it lapses.
    # Cause: the end of an entry was taken for the end of whoever bears its name.
    Given a directory with the runners a, b
    When a, born at 9000, enters itself at 30000 ms
    And the store ends at 33000 ms what a, born at 5000, wrote
    Then the runners in force are a, b
    When a, born at 9000, enters itself at 33900 ms
    And lapsed entries are dropped at 40000 ms
    Then the runners in force are a, b

  Scenario: A good entry is written over by another writer
    # Symptom: calls go on to an address that the entry no longer names.
    # Sequence: another writer puts something under the name of a runner's entry.
    # Cause: what could not be decoded was skipped, and the old record stayed in use.
    Given a directory with the runners a, b
    And the store returned at 10000 ms
    When the entry of a names no runner any more at 10100 ms
    Then the runners in force are b

  Scenario: News of an entry come after those of its end
    # Symptom: a runner that is gone gets calls until the next whole list.
    # Sequence: two datagrams of a watcher change places; the entry ends in the second.
    # Cause: an entry that was not known was taken for a new one. Found by the model
    #   checker (runner_lifetimes_spec).
    Given a directory with the runners a, b
    When the entry of a ends at 60000 ms
    And a peer tells at 60100 ms of the entry of a as it was at the start
    Then the runners in force are b

  Scenario: A peer that cannot reach the store hands over its waits for runners
    # Guards against sending calls to a leaving runner for the whole wait of a peer.
    Given a directory with the runners a, b
    When a peer that waits for a hands over a newer list with b at 60000 ms
    And lapsed entries are dropped at 61400 ms
    Then the runners in force are b

  Scenario: Only one node cannot reach the store when an entry ends
    # Guards against treating one node's lost connection as a store outage.
    Given a directory with the runners a, b
    And the store is away
    And the store answered a peer at 57000 ms
    And the store answered a peer at 58400 ms
    And the store answered a peer at 59500 ms
    When the entry of a ends at 60000 ms
    Then the runners in force are b

  Scenario: The store answers no peer when an entry ends
    # Guards against dropping runners whose entries lapsed in an outage.
    Given a directory with the runners a, b
    And the store answered a peer at 59500 ms
    And the store is away
    When the entry of a ends at 60000 ms
    Then the runners in force are a, b

  Scenario: An outage begins while only one node cannot reach the store
    # Guards against dropping lapsed entries after the store stops answering peers.
    Given a directory with the runners a, b
    And the store is away
    And the store answered a peer at 52000 ms
    And the store answered a peer at 53400 ms
    And the store answered a peer at 54800 ms
    When the entry of a ends at 60000 ms
    Then the runners in force are a, b
    When the store answers a peer at 60000 ms
    And the entry of b ends at 60100 ms
    Then the runners in force are a, b

  Scenario: The store answers a peer first after an outage
    # Guards against dropping lapsed entries at a node whose own calls still fail.
    Given a directory with the runners a, b
    And the store answered a peer at 55000 ms
    And the store is away
    When the store answers a peer at 60000 ms
    And the entry of a ends at 60500 ms
    Then the runners in force are a, b
    When the store returns at 60600 ms
    And lapsed entries are dropped at 62799 ms
    Then the runners in force are a, b
    When lapsed entries are dropped at 62800 ms
    Then the runners in force are b

  Scenario: Two kinds of calls succeed again after only one node lost the store
    # Guards against waiting for a runner when there was no store outage.
    Given a directory with the runners a, b
    And the store is away
    And the store answered a peer at 57000 ms
    And the store answered a peer at 58400 ms
    And the store answered a peer at 59500 ms
    When the store returns at 60000 ms
    And the store returns at 60300 ms
    And the entry of a ends at 60310 ms
    Then the runners in force are b

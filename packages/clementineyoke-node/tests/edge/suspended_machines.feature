Feature: Machines that are suspended, for a time that the steady clock does not count

  Scenario Outline: A node wakes and is cut off from the store and its peers
    # Its list of runners counts as current, and streams of a version that it has missed
    # go on at the only one that it knows.
    Given 2 nodes and 4 runners of the versions "v1"
    When node 1 <waits> for 3 s and is cut off, while 4 runners of "v2" start and begin 12 streams that break
    Then streams that "v2" began are refused at node 1 while a peer is away

    Examples:
      | waits        |
      | is suspended |
      | stands still |

Feature: Runners that have just started

  A load without network: callers ask for a slot on one runner as often as they can, at
  its home or at two homes, while it is cold. The runner ends at half as much again as it
  bears, and five calls more, within any second.

  Scenario: A surge meets a cold runner
    # Symptom: a runner that has just started ends within a second, and starts anew.
    # Sequence: its prompts come back to it all at once; its home grants by slots.
    # Cause: nothing counted the calls of a second.
    Given a runner that bears 8.9 calls a second while it is cold, for 3000 ms
    When 200 calls a second ask its home for it
    Then no second of its first 3000 ms has more than 9 grants
    And afterwards calls are granted as fast as they come

  Scenario: Two nodes believe that they are its home
    # Symptom: a cold runner ends though each home kept to the figure.
    # Sequence: homes move when a zone of nodes returns together with its runners.
    # Cause: each home had a whole allowance and a burst on top of it.
    Given a runner that bears 8.9 calls a second while it is cold, for 3000 ms
    When 200 calls a second ask each of two homes for it
    Then no second of its first 3000 ms has more than 18 grants

  Scenario: A runner turns cold in the midst of calls
    Given a runner that bears 8.9 calls a second while it is cold, for 3000 ms
    And it is warm
    When 200 calls a second ask its home for it
    And after 1000 ms it says that it is cold for 3000 ms
    Then no second from 1000 ms to 4000 ms has more than 9 grants

  Scenario: A zone returns and its runners have not spoken yet
    # Symptom: the runners of a zone that was emptied end as it is taken back.
    # Sequence: they were restarted meanwhile; their entries say so a second later.
    # Cause: their last word, from before, was believed.
    Given a runner that bears 8.9 calls a second while it is cold, for 3000 ms
    And it is warm
    When its zone returns
    Then it counts as cold for 3000 ms

  Scenario: A runner says that it is warm
    Given a runner that bears 8.9 calls a second while it is cold, for 3000 ms
    When it says that it is cold for 0 ms
    Then it counts as warm

  Scenario: A pool without such a limit
    Given a runner that bears 0 calls a second while it is cold, for 3000 ms
    When 200 calls a second ask its home for it
    Then calls are granted as fast as they come

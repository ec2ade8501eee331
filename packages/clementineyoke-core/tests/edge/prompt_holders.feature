Feature: Runners from which a cached prompt is fetched

  A simulation without network: calls for 92 long prompts on 60 runners arrive at random at six
  nodes. A call goes to the first runner in its prompt's order; one in twenty finds it busy and
  goes to the next. A runner that does not have a prompt is told another one to fetch it from;
  if that one does not have it either, the prompt is computed again although a runner has it.

  Scenario: Runners are replaced one after the other
    # In a release under load, each new runner is first in the order of prompts that it has
    # never read. If prompts were fetched by that order, which says where a prompt should be
    # but not where it is, long prompts would be computed again all through the release.
    Given a load of 100 calls a second for 30 s
    When a runner is replaced by a new one every second
    Then with remembered holders at most half as many prompts are computed again

  Scenario: A zone is evacuated and its runners come back with empty caches
    # 20 of the runners get no calls for 10 s and are restarted meanwhile. The second runner
    # in a prompt's order may be in the same zone, and the third or fourth has served the
    # prompt. By that order, prompts would be computed again when the zone returns.
    Given a load of 100 calls a second for 30 s
    When a third of the runners get no calls from 10 s to 20 s and come back empty
    Then with remembered holders at most half as many prompts are computed again

  Scenario: A runner's entry expires
    Given a node that has seen a runner answer for a prompt
    Then after 19 s the runner is returned, and after 21 s none

  Scenario: The number of remembered prompts is limited
    Given a node that has seen answers for 10000 prompts
    Then it remembers the last one, and 4096 at most

Feature: Which version began a stream

  Scenario Outline: Records of one id
    # An id that stands for two streams must not name one of them at random.
    Given a node that remembers streams
    When it learns that "s" was begun by <versions>
    Then "s" was begun by <version>

    Examples:
      | versions         | version |
      | v1               | v1      |
      | v1, v1           | v1      |
      | v1, v2           | several |
      | v1, v2, v2       | several |
      | v1, v1 elsewhere | several |

  Scenario: A record ends with the time in which the stream can be resumed
    Given a node that remembers streams
    When it learns that "s" was begun by v1
    And 72 s pass
    Then "s" was begun by nobody

  Scenario: More streams than a node remembers
    Given a node that remembers streams
    When it learns of 20000 streams of version "v1"
    Then it remembers at most 16384 streams, the latest ones

  Scenario Outline: Ids of callers
    Given a caller that names an attempt "<id>"
    Then that is <verdict>

    Examples:
      | id               | verdict  |
      | 9c41d07be2a35f68 | an id    |
      | call-1           | an id    |
      | <empty>          | no id    |
      | two words        | no id    |
      | line\nbreak      | no id    |
      | é                | no id    |
      | <129 characters> | no id    |

  Scenario: Teams use the same id
    # A caller could otherwise continue streams at a version that another team's began.
    Then the streams "s" of team "one" and of team "two" have different keys

  Scenario Outline: Versions of a pool
    # A version whose last runner has gone may still have streams that are resumed.
    Given a node that sees runners of the versions "<versions>" of a pool
    When it sees the versions "<later>" instead
    And <wait_s> s pass
    Then the pool's recent versions are "<recent>"

    Examples:
      | versions | later  | wait_s | recent |
      | v1       | v1     | 1      | v1     |
      | v1       | v1, v2 | 1      | v1, v2 |
      | v1, v2   | v2     | 119    | v1, v2 |
      | v1, v2   | v2     | 121    | v2     |
      | v1       | v2     | 1      | v1, v2 |

  Scenario: A node that has just started hears of a former version
    Given a node that sees runners of the versions "v1, v2" of a pool
    When it sees the versions "v2" instead
    And 10 s pass
    And another node starts, which sees the versions "v2", and hears of the first one's
    Then the other node's recent versions are "v1, v2"
    And it knows them for 10 s

  Scenario Outline: What nodes know of a stream
    # A node that is cut off, or has just started, may have missed the other version.
    Given a node that knows <own>, and a list of runners that is <view>
    When it asks <asked> peers, which answer <answers>
    Then the result is <result>

    Examples: record or versions, seconds for which a node knows these, and revisions
      | own        | view    | asked | answers                       | result       |
      | record     | stale   | 0     | nothing                       | recorded     |
      | record     | current | 3     | v1 v2 for 30, nothing         | recorded     |
      | record     | current | 3     | record, record of v2          | ambiguous    |
      | record     | current | 3     | ambiguous                     | ambiguous    |
      | v1 for 30  | current | 3     | record, v1 for 30             | recorded     |
      | v1 for 30  | current | 3     | ambiguous                     | ambiguous    |
      | v1 for 30  | current | 3     | v1 for 30, v1 for 30          | only_version |
      | v1 for 30  | current | 3     | nothing                       | only_version |
      | v1 for 30  | stale   | 3     | nothing                       | unknown      |
      | v1 for 30  | stale   | 3     | v1 for 1                      | unknown      |
      | v1 for 30  | stale   | 3     | v1 for 1, v1 for 1            | unknown      |
      | v1 for 30  | current | 3     | v1 v2 for 30                  | unknown      |
      | v1 v2 for 30 | current | 3   | v1 for 30                     | unknown      |
      | v1 for 1   | current | 3     | v1 for 30                     | only_version |
      | v1 for 1   | current | 3     | v1 for 1                      | unknown      |
      | v1 for 1   | current | 1     | v1 for 1                      | unknown      |
      | v1 for 30  | stale   | 0     | nothing                       | unknown      |
      | v1 for 30  | stale   | 3     | nothing, nothing, nothing     | unknown      |
      | v1 for 30  | stale   | 3     | v1 for 1, nothing, nothing    | unknown      |
      | v1 for 1   | current | 1     | nothing, nothing              | unknown      |
      | nothing    | current | 0     | nothing                       | unknown      |

    Examples: answers that the store confirms, and what is known up to a revision
      | own                  | view    | asked | answers                      | result       |
      | v1 for 30 at 1 to 5  | stale   | 3     | v1 for 30 at 1 to 5          | unknown      |
      | v1 for 30 at 1 to 5  | stale   | 3     | v1 for 1 at 9 to 9 confirmed | unknown      |
      | v1 for 30 at 1 to 5  | stale   | 3     | v1 for 1 at 5 to 9 confirmed | only_version |
      | v1 for 30 at 1 to 5  | stale   | 3     | v1 for 30 at 1 to 9 confirmed | only_version |
      | v1 for 30 at 1 to 5  | stale   | 3     | v1 v2 for 30 at 1 to 9 confirmed | unknown   |
      | v1 for 1 at 5 to 9   | current | 3     | v1 for 30 at 1 to 4          | unknown      |
      | v1 for 1 at 5 to 9   | current | 3     | v1 for 30 at 1 to 5          | only_version |
      | v1 for 1 at 5 to 9   | current | 3     | v2 for 30 at 1 to 4          | unknown      |

Feature: Logs and metrics tell the lifetimes of runners apart

  Scenario: The decision on a call names its runner's lifetime and the age of the list
    # A runner that has restarted under its id cannot be told from the one before, nor a stale
    # list of runners from a current one.
    Given a fleet of 1 node and 1 runner
    When runner 0 restarts under its id
    And a caller makes a "streaming" call with the id "before"
    And the store stops responding
    And 600 ms pass
    And a caller makes a "streaming" call with the id "after"
    Then the decisions on "before" and "after" name the new lifetime
    And the list of runners is at least 500 ms older in the decision on "after"

  Scenario: The log tells that a runner has come back at another version
    # Of a stream with events of two versions nobody knows whether one runner made them all.
    Given a fleet of 1 node and 1 runner
    When runner 0 restarts under its id at version "v2"
    Then the log tells once that runner 0 was replaced, with both starts and versions

  Scenario Outline: The log tells how a stream without a length was taken to be whole
    # A stream that ended with its crashed runner is logged like a whole one if something listens
    # at the address again.
    Given a fleet of 1 node and 1 runner
    And the runners stream
    And the runners frame no streams and close connections in order when they crash
    When a caller's stream breaks with its runner, <return>
    Then the decisions on it say that it was <result> when it had part of 6 events
    And 1 end by connection is counted as <result>

    Examples:
      | return                | result |
      | which is back at once | whole  |
      | which stays away      | cut    |

  Scenario: Calls that meet another runner at the address of theirs are counted
    # A deployment that reuses addresses looks like one with runners that are merely full.
    Given a fleet of 1 node and 2 runners
    When another runner takes the address of runner 0, and calls arrive until it is met
    Then all calls are answered by runner 1
    And the refused ones are counted as misdirected, and logged as refused with 421

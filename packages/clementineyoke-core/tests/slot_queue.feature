Feature: Waiting for a slot

  Scenario: Priorities go first, teams take turns
    # Symptom: one team's surge makes every other team wait to its deadline.
    # Sequence: 30 requests of one team come, then one each of two others.
    # Cause: first come first served.
    Given a queue in which team 1 has 30 requests of priority 5
    When team 2 and team 3 add one each of priority 5, and team 4 one of priority 2
    Then the first four served are of the teams 4, 1, 2, 3

  Scenario: A team that comes back late does not go before all others for long
    Given a queue in which team 1 has 30 requests of priority 5
    When 20 of them are served and team 2 adds 10 of priority 5
    Then the teams are served in turns

  Scenario: A full queue turns away the last in line
    Given a queue of 4 places in which team 1 has 4 requests of priority 5
    When team 2 adds one of priority 1
    Then team 1's last request is turned away

  Scenario: Who has given up is not served
    Given a queue in which team 1 has 3 requests of priority 5
    When the first has given up and the second is taken out
    Then the third is served and then nobody

Feature: Arms of the code on paired days

  Scenario: A day's report is read
    Given a report of a day with a worth of 0.5, 40 calls to the store and a broken rule
    Then its figures hold the worth, the amount and price of the calls, and the rule

  Scenario: A report that the bench cut short
    Then a text that is no report is refused with what is missing

  Scenario: A difference that every pair shows
    Given pairs of which the second is better by 0.01 to 0.03
    Then the difference is clear, and the same whenever it is worked out

  Scenario: A difference that is luck
    Given pairs of which half are better by 0.02 and half are worse
    Then the difference is unclear

  Scenario: Small twins of a day of our own
    When a play of a small twin is put together
    Then the bench is told the day's path, the seed and that it is small

Feature: Paired experiments on versions of the code

  Scenario: The report of a day is parsed
    Given a day report with a worth of 0.5, 40 calls to the store and a broken rule
    Then its metrics contain the worth, the amount and price of the calls, and the rule

  Scenario: A truncated report is rejected
    The benchmark can end before it has written its whole report.
    Then parsing an invalid report fails with the missing part in the error

  Scenario: A difference in every pair is significant
    Given pairs whose second value is higher by 0.01 to 0.03
    Then the difference is clear, and computing it again gives the same result

  Scenario: A difference of varying sign is not significant
    Given pairs whose second value is higher by 0.02 in one half and lower in the other
    Then the difference is unclear

  Scenario: The small variant of a day from a file is run
    When the arguments for the small variant of a day are built
    Then the benchmark gets the path of the day, the seed and the small option

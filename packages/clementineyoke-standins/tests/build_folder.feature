Feature: The build of the deploy file

  Scenario Outline: Libraries are already in the build folder
    # Compiled libraries that were installed on another kind of machine cannot be loaded.
    Given a build folder whose libraries were installed <where>
    When the build runs
    Then the libraries are <outcome>

    Examples:
      | where                      | outcome         |
      | on this machine            | kept            |
      | on another kind of machine | installed again |
      | by an earlier build script | installed again |

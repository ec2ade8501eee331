Feature: Invalid entries in the platform's host list

  Scenario Outline: A host with an invalid entry
    # The task that follows the hosts ends, and the node misses all later changes.
    Given a node that follows a list of hosts
    When the list has a host with <fault>, and later a sound one
    Then the node knows the sound hosts alone

    Examples:
      | fault                   |
      | no address              |
      | a text as its port      |
      | a port out of range     |
      | an unknown role         |
      | a number as its name    |
      | no fields but a list    |
      | 100000 levels in a note |

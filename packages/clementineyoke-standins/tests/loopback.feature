Feature: Addresses of fleets in tests

  Scenario: A fleet claims its ports
    # Symptom: once in some 900 fleets the first node cannot open its doors, 6 ms after
    #   the start ("address already in use").
    # Sequence: six ports are asked for one after the other, each given back at once.
    # Cause: the kernel may name a port again that it has just got back.
    Then each of 5000 fleets that claim 6 ports has 6 different ones
    And none of them is among those that the kernel gives to connections

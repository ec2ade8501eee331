Feature: Acquiring a slot

  Scenario: A caller disconnects while its slot is being requested
    # Only a time-out released a slot granted after the caller had gone, so runner slots
    # stayed occupied for 15 s after a burst of cancelled requests.
    Given a broker whose runner's home is another node
    When the caller disconnects while the home is being asked
    Then the slot that may have been granted is released

  Scenario: The home does not reply
    Given a broker whose runner's home is another node
    When the home does not reply to the request
    Then the slot that may have been granted is released
    And the request falls back to the runner without a grant from its home

  Scenario: A busy home replies late while its pool is short of capacity
    # In a surge busy homes replied late, and their runners were overloaded by calls that
    # went to them without a grant.
    Given a broker whose runner's home is another node
    And the pool is short of capacity and the home has replied 0.9 s ago
    When the home does not reply to the request
    Then the slot that may have been granted is released
    And the request gets no slot

  Scenario: A home fails while its pool is short of capacity
    # Calls to the runners of a failed home must not wait until the fleet detects it.
    Given a broker whose runner's home is another node
    And the pool is short of capacity and the home has replied 1.1 s ago
    When the home does not reply to the request
    Then the request falls back to the runner without a grant from its home

  Scenario: A busy home replies late while its pool has capacity
    # Outside of a shortage the fallback is as before.
    Given a broker whose runner's home is another node
    And the pool has capacity and the home has replied 0.9 s ago
    When the home does not reply to the request
    Then the request falls back to the runner without a grant from its home

  Scenario: A caller states more tokens than a message can hold
    # The message could not be encoded, and the caller got status 500 for a header.
    Given a broker whose runner's home is another node
    When a call of 5000000000 shared, own and output tokens asks for a slot
    Then its request and the renewal of its slot can be encoded

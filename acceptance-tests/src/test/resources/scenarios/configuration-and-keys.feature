Feature: Configuration and keys while traffic flows

  Background:
    Given entry VMs in the failure domains piraeus, lavrio and rafina

  Scenario: A withdrawn key stops on a connection that is kept alive
    Given a caller of team crews with a connection to entry-1 on which a request was answered
    When the operator withdraws the caller's key
    Then requests on the caller's connection are refused with 401 within 3 seconds

  Scenario: A withdrawn key ends a running stream
    Given a caller of team crews who reads a long stream from entry-2
    When the operator withdraws the caller's key
    Then the caller's stream ends within 3 seconds, long before its last token

  Scenario: A change is in force on all VMs within seconds
    When the operator applies a change
    Then the change is in force on all VMs within 3 seconds

  Scenario: A failure domain that is cut off from the platform hears from the others
    Given the failure domain lavrio is cut off from the platform
    When the operator applies a change
    Then the change is in force on all VMs within 3 seconds

  Scenario: A VM that starts during an outage learns from its peers
    Given the platform is down
    When entry-3 is killed and started again
    Then entry-3 is ready with the revision that the others have

  Scenario: Of operators who race for a revision exactly one wins
    When 3 operators apply different changes to the same revision at once
    Then one is told that its change is accepted, the others that the revision is taken
    And the accepted change alone is in force on all VMs within 3 seconds

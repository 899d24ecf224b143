Feature: Operators change what the fleet serves while traffic runs

  @own-fleet
  Scenario: A withdrawn key stops working on every VM
    Given the Thalassa fleet with 3 entry VMs
    And a key of team "crews"
    When the operator withdraws the key
    Then every entry VM soon refuses the key

  @own-fleet
  Scenario: A VM that is told to stop finishes a running stream and ends cleanly
    Given the Thalassa fleet with 2 entry VMs
    And a key of team "crews"
    When entry VM "entry-1" is told to stop while a client library streams a chat completion of "scribe"
    Then the whole answer belongs to its request
    And entry VM "entry-1" ends with 0

  @own-fleet
  Scenario: A drained VM ends by itself
    Given the Thalassa fleet with 2 entry VMs
    When the operator drains "entry-1"
    Then entry VM "entry-1" ends with 0

Feature: A planned stop of an entry VM cuts no request

  Scenario: A rolling restart under load cuts no request
    When all 3 entry VMs of a fleet are restarted in turn under load
    Then no request was cut

  Scenario: A rolling restart under load refuses no request inside the team's rate
    When all 3 entry VMs of a fleet are restarted in turn under load
    Then no request was refused inside the team's rate

Feature: Probe
  Scenario: Probe
    Given nothing

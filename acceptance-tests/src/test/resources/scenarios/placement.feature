Feature: Models stay reachable and memory is kept while placement processes and engines fail

  Background:
    Given 3 engines and 2 placement processes in one failure domain
    And every model is ready on two engines

  Scenario: The acting process is killed and another takes over
    When the acting placement process is killed
    And the model "harbour" is added
    Then every model gets ready on two engines
    And another placement process acts
    And no engine's memory was ever taken twice

  Scenario: The acting process is paused past its lease and woken
    When the acting placement process is paused until another one acts
    And the model "harbour" is added
    And it is woken
    Then every model gets ready on two engines
    And exactly one placement process acts
    And no engine's memory was ever taken twice

  Scenario: An engine is killed in the middle of a load
    When the model "harbour" is added
    And an engine is killed while it loads "harbour", and restarted
    Then every model gets ready on two engines
    And no engine's memory was ever taken twice

  Scenario: The acting process is asked to stop
    When the acting placement process is asked to stop
    Then another placement process acts
    And every model gets ready on two engines

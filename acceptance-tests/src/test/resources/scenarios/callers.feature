Feature: Callers get the whole answer to their own request, or a refusal with its reason

  Background:
    Given the Thalassa fleet with 3 entry VMs
    And a key of team "crews"

  Scenario: An unmodified client library gets a completion
    When a client library asks "scribe" for a chat completion
    Then the whole answer belongs to its request
    And exactly 1 engine ran it, once

  Scenario: An unmodified client library streams a completion
    When a client library streams a chat completion of "scribe"
    Then the whole answer belongs to its request
    And it came in 12 pieces
    And exactly 1 engine ran it, once

  Scenario: The text interface completes
    When it asks "scribe" for a completion
    Then the answer is 200 and belongs to its request

  Scenario: The models are listed
    When it gets "/v1/models"
    Then the answer is 200
    And the answer names the model "scribe"

  Scenario: A booking runs once
    When it posts a booking to "/bookings/today"
    Then the answer is 200 and belongs to its request
    And exactly 1 plain service ran it, once

  Scenario: A route open to all needs no key
    Given no key
    When it gets "/tides/piraeus"
    Then the answer is 200

  Scenario: Keys never reach an upstream
    When it posts a booking with its key in the header, a cookie, the query and a header of its own
    Then no upstream has seen the key

  Scenario: A request without a key is refused
    Given no key
    When it posts a booking to "/bookings/today"
    Then it is refused with 401 "unauthorized" as not run

  Scenario: A request with an unknown key is refused
    Given a key that nobody has given
    When it asks "scribe" for a completion
    Then it is refused with 401 "unauthorized" as not run

  Scenario: A request for an unknown model is refused
    When it asks "oracle" for a completion
    Then it is refused with 404 "not_found" as not run

  Scenario: A team beyond its rate is refused and told when to come back
    Given a key of team "agency"
    When it asks "scribe" for completions until one is refused
    Then it is refused with 429 "rate_limited" as not run
    And the refusal says when to come back

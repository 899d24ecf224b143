Feature: Faulty requests get a clear answer and never reach an upstream

  Background:
    Given the Thalassa fleet with 1 entry VM that waits 2 s for a slow caller
    And a key of team "crews"

  Scenario Outline: A request with <fault>
    When it sends a request with "<fault>"
    Then the connection answers once with <status> "<code>" and closes
    And no upstream has seen any of it

    Examples:
      | fault                          | status | code              |
      | a length given twice           | 400    | invalid_request   |
      | a length and chunks            | 400    | invalid_request   |
      | an obscured transfer coding    | 400    | invalid_request   |
      | a space before the colon       | 400    | invalid_request   |
      | bare line feeds                | 400    | invalid_request   |
      | a negative length              | 400    | invalid_request   |
      | a chunk size that is no number | 400    | invalid_request   |
      | no request line                | 400    | invalid_request   |
      | a header beyond the limit      | 413    | request_too_large |
      | a body beyond the limit        | 413    | request_too_large |
      | half a header                  | 408    | request_timeout   |
      | half a body                    | 408    | request_timeout   |

  Scenario: A folded header is read as one line, so that nobody can read it in two ways
    When it sends a request with "a folded header"
    Then the connection answers once with 200
    And exactly 1 plain service ran it, once

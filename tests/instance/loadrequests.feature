Feature: Requests for adapters are repeated for all calls that wait

  Scenario: Calls of two scopes that one load serves do not stop the requests of others
    Guards against an error within the repetition of requests, which ended it for all others.

    Given an engine that holds an adapter, and calls of two scopes that wait for it
    And a call that waits for another adapter
    When the requests are repeated
    Then the calls of both scopes may be sent, and the other one waits

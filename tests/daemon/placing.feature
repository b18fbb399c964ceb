Feature: A call ends only when no place for it is left

  Scenario: An endpoint that a bundle removes fails no call that another one can run
    Given a deployment of 1 zone with 1 instances and 2 fencing engines
    When a bundle without engine-a0 comes into force amid calls for 6 models
    Then each of these calls is served
    And the retry budget is whole

  Scenario Outline: An answer of which the caller has nothing but the head runs again
    Given a deployment of 1 zone with 1 instances and 2 fencing engines
    When a <kind> loses its connection behind its head at an engine that <can> resume
    And 3 s pass
    Then it is answered whole by the engine that its head names

    Examples:
      | kind         | can    |
      | stream       | can    |
      | stream       | cannot |
      | whole answer | cannot |

  Scenario: An answer with a key of which the caller has nothing but the head runs once
    Given a deployment of 1 zone with 1 instances and 2 fencing engines
    When a stream with a key loses its connection behind its head at an engine that cannot resume
    And 3 s pass
    Then it ran once and its caller is told connection_lost, unknown

  Scenario: A call that waits beside an older one is not held to the time of that one
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When a load fails and the next one ends 2 s behind the time of the first of 2 calls
    Then the second call is served within 1 s of the load

  Scenario Outline: A call whose engine answers <status> runs at another one
    Given a deployment of 1 zone with 1 instances and 2 fencing engines
    When 6 calls of models held at both engines come as one answers <status>
    Then 6 of these calls are served
    And no engine got more than <most> of them in vain

    Examples:
      | status | most |
      | 429    | 3    |
      | 503    | 3    |

Feature: A zone keeps its owner while that helps

  Scenario Outline: A zone whose engines are all <state> is not handed from owner to owner
    Guards against owners that each release the lease as they reach no engine: it changed
    hands seven times in five seconds, and each new owner began without any reports.

    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    And callers of 40 adapters, 40 calls a second, and as many plain ones
    And the log events are recorded
    When all engines of z1 are <state> for 14 seconds
    Then the lease of z1 changed hands <most> times at most

    Examples: One that is silent may be cut off from its owner alone
      | state  | most |
      | down   | 0    |
      | silent | 1    |

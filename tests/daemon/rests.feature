Feature: An engine that asks for rest is left alone by who was turned away

  With the interface of whole completions an engine's Retry-After was passed on to callers
  and kept by no instance: one that turned calls away was asked again by the next of them.

  Scenario Outline: <turned> of 3 engines turn calls away and ask for 4 seconds
    Given a deployment of 1 zone with 2 instances and 3 fencing engines
    When <turned> engines turn calls away with a rest of 4 s, of 10 calls a second for 9 s
    Then an engine got at most <most> calls, and 2 of each instance in a rest
    And <served> in 100 calls were served, and none waited for more than <wait> s

    Examples:
      | turned | most | served | wait |
      | 1      | 8    | 97     | 2    |
      | 3      | 8    | 0      | 31   |

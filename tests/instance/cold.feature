Feature: A cold endpoint gets no more calls a second than it takes

  Guards against endpoints that crash while they warm up: one that took 4 calls a second got
  56, 92 and 75 in its worst second, where 11 are allowed.

  Scenario Outline: <endpoint> with a rate of <rate> is cold while <trouble>
    Given <instances> instances, 4 engines and 4 plain endpoints that may announce limits
    And cold endpoints take <rate> calls a second
    And callers of 6 adapters, <calls> calls a second, and as many plain ones
    When <endpoint> turns cold for 9 seconds while <trouble>
    Then no cold endpoint got more than it takes

    Examples:
      | instances | endpoint            | rate | calls | trouble                                    |
      | 6         | a plain endpoint    | 4    | 80    | nothing happens                            |
      | 40        | a plain endpoint    | 4    | 120   | nothing happens                            |
      | 6         | all plain endpoints | 4    | 80    | nothing happens                            |
      | 6         | all plain endpoints | 17   | 160   | nothing happens                            |
      | 6         | all engines         | 4    | 80    | nothing happens                            |
      | 40        | all engines         | 4    | 120   | nothing happens                            |
      | 6         | all plain endpoints | 4    | 80    | zones can't reach each other               |
      | 6         | all plain endpoints | 4    | 80    | no instance can reach another              |
      | 6         | all plain endpoints | 4    | 80    | the store does not answer                  |
      | 6         | all engines         | 4    | 80    | the owner of z1 is killed                  |
      | 6         | all engines         | 4    | 80    | all instances are killed and restart       |
      | 6         | all engines         | 4    | 80    | the owner of z1 is suspended for 9 seconds |
      | 6         | all engines         | 4    | 80    | others are suspended in turn               |

  Scenario Outline: What <endpoint> take is used, and the rest is refused at once
    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    And cold endpoints take 8 calls a second
    And callers of 6 adapters, 160 calls a second, and as many plain ones
    When <endpoint> turns cold for 9 seconds while nothing happens
    Then no cold endpoint got more than it takes
    And 70 in 100 of what cold endpoints take was run

    Examples:
      | endpoint            |
      | all plain endpoints |
      | all engines         |

  Scenario: Calls beyond all rates are refused at once, with a time to retry
    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    And cold endpoints take 1 calls a second
    And callers of 6 adapters, 40 calls a second, and as many plain ones
    When all plain endpoints turns cold for 9 seconds, of which 4 pass
    Then plain calls are refused within 0.3 seconds, with a time to retry

  Scenario: Calls go elsewhere while other endpoints have room
    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    And cold endpoints take 4 calls a second
    And callers of 6 adapters, 40 calls a second, and as many plain ones
    When a plain endpoint turns cold for 6 seconds while nothing happens
    Then 99 in 100 of the plain calls are served

  Scenario: The endpoints of a zone that returns count as cold until their entries tell
    Guards against a zone whose endpoints became cold shortly before it is taken back, so
    that their entries don't show it yet, and whose callers all come back at once.

    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    And cold endpoints take 4 calls a second
    And callers of 6 adapters, 80 calls a second, and as many plain ones
    When the zone z1 is evacuated for 4 seconds
    And its endpoints turn cold for 5 seconds, which their entries tell 1.2 seconds later
    And the zone z1 is taken back
    Then each of its plain endpoints gets calls within 6 seconds
    And no cold endpoint got more than it takes

  Scenario: An endpoint that is warm gets as many calls as before
    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    And cold endpoints take 1 calls a second
    And callers of 6 adapters, 40 calls a second, and as many plain ones
    When all plain endpoints turns cold for 3 seconds while nothing happens
    Then 2 seconds later 97 in 100 of the plain calls are served

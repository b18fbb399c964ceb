Feature: Owners know which copies run calls

  An owner does not evict a copy on which calls run, as the engine would wait for
  them to end. It knows of them by the instances' reports, which listed changes
  only. When messages were lost for two seconds, the ends of six calls were never
  received: the owners counted 6 running calls where none ran, all six adapter slots
  stayed occupied, and each of four more adapters was refused, 503, however often it
  was requested. The same happened after an instance was killed and restarted within
  the four seconds after which it counts as gone. A new owner, in contrast, knew of 2
  of 6 running calls, and evicted the other copies.

  Background:
    Given an installation with instances a and b in zone z1 and c in zone z2
    And engines e1 and e2 in z1 and e3 in z2, and plain endpoints p1 in z1 and p2 in z2
    And engines generate for 1.5 seconds

  Scenario Outline: Copies are evicted again after <trouble>
    When nothing happens
    And 6 adapters are each called at the instance of z1 that owns nothing
    And 0.8 seconds pass
    Then owners count 6 running calls
    When <trouble>
    And 3 seconds pass
    And streams of 4 adapters are sent to c, one each 1 seconds
    Then all get 200
    And owners count 0 running calls

    Examples:
      | trouble                                           |
      | nothing happens                                   |
      | messages between instances are lost for 2 seconds |
      | the instance of z1 that owns nothing restarts     |

  Scenario: A new owner receives the running calls
    Given engines generate for 9 seconds
    When nothing happens
    And 6 adapters are each called at the instance of z1 that owns nothing
    And 1 second passes
    And the owner of z1 dies
    And 7 seconds pass
    Then owners count 6 running calls

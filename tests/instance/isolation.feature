Feature: Callers of an instance that reaches no runner are served

  Guards against refusing, at an instance that is cut off from all runners, what its
  neighbours could serve. Four of seven instances were cut off for 12 seconds; callers, the
  store and the others reached them, and of 166 first tries there 8 were served, of 562 at the
  others 556.

  Scenario: Calls are served at instances that are cut off from all runners
    When instances are cut off from all runners for 8 seconds, with 60 calls a second
      | instances | connections |
      | a         | hang        |
      | a         | are refused |
      | a, b      | hang        |
      | a, b      | are refused |
      | a, c      | hang        |
      | a, c      | are refused |
      | a, b, c   | hang        |
      | a, b, c   | are refused |
      | a         | live on, new ones are refused |
      | a, c      | live on, new ones are refused |
      | a, b, c   | are reset and refused         |
    Then 95 in 100 of the calls at each instance are served, 3 seconds behind the cut, until it ends
    And 97 in 100 of the calls are served 1.5 seconds behind its end
    And no call that may run once ran twice

  Scenario: Calls are served soon behind a cut of all instances
    When instances are cut off from all runners for 5 seconds, with 60 calls a second
      | instances  | connections                   |
      | a, b, c, d | hang                          |
      | a, b, c, d | are refused                   |
      | a, b, c, d | are reset and refused         |
      | a, b, c, d | live on, new ones are refused |
    Then 97 in 100 of the calls are served 1.5 seconds behind its end
    And no call that may run once ran twice

  Scenario: Calls that a cut has reset are not taken for the cause of crashes
    Guards against quarantining calls of an instance whose connections to all runners were
    reset at once: each endpoint refused it, as one that has ended does.

    When all connections of instance a to runners are reset and refused for 4 seconds, with 60 calls a second
    Then no end of an endpoint was counted, and no call was refused for one

Feature: A call ends only when no place for it is left

  Scenario: An endpoint that a bundle removes fails no call that another one can run
    Given a deployment of 1 zone with 1 instances and 2 fencing engines
    When a bundle without engine-a0 comes into force amid calls for 6 models
    Then each of these calls is served
    And the retry budget is whole

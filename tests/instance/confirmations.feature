Feature: A call that may have run is never refused as one that has not

  Guards against a promise that one memory of the call's sends gives, and another denies.

  Scenario: A call whose silent send was replaced is not refused as its follower is rejected
    When calls wait at an engine that stands still, and then at one that rejects them
    Then it fails without the promise that it has not run

  Scenario Outline: A call that is passed on is not refused where <what>
    When a call is passed on behind a send that runs later, and <what>
    Then it fails without the promise that it has not run

    Examples:
      | what                                      |
      | the other instance drains                 |
      | the other instance has ended              |
      | all endpoints reject it there             |
      | this instance ends before another took it |

  Scenario Outline: A call that was <sent> runs at as many endpoints as its route allows
    When calls are <sent>, at endpoints that stand still and then fail
    Then each call runs at no more endpoints than its route allows

    Examples:
      | sent                                   |
      | passed on behind a send                |
      | replaced at a silent engine            |

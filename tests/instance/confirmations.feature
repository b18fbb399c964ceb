Feature: A call that may have run is never refused as one that has not

  Guards against a promise that one memory of the call's sends gives, and another denies.

  Scenario: A call whose silent send was replaced is not refused as its follower is rejected
    When calls wait at an engine that stands still, and then at one that rejects them
    Then it fails without the promise that it has not run

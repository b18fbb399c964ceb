Feature: A call under which engines end is not run for ever

  The interface of whole completions sent a call whose engine ended to the next one, up
  to eight times, and again when its caller came back: 17 runs of one call in 30 seconds
  at one instance, 19 at three. Each instance now counts by itself.

  Scenario Outline: <instances> instances get a deadly call in turn
    Given a deployment of 1 zone with <instances> instances and 6 fencing engines
    When a deadly call is sent to each instance in turn, each 0.5 seconds for 30 seconds
    Then at most <most> runs of it began
    And a call that harms no engine is served by each instance

    Examples:
      | instances | most |
      | 1         | 3    |
      | 3         | 9    |

Feature: Whatever engines do to a stream, its caller gets each event once

  Guards against two runs of a call that go on beside each other, against an event that is
  lost, doubled or mixed of two runs when a kept run goes on, is replaced or fails, and
  against calls that stay counted at an engine.

  Scenario Outline: Streams of <attempts> attempts at engines that pause, refuse and break off, seed <seed>
    Given an instance and 3 engines that hold an adapter, and routes of <attempts> attempts
    When 200 streams are sent while engines pause, refuse and break off, with seed <seed>
    Then each answer has whole events in order, from the first on
    And each whole answer has all of them
    And <least> in 100 of the answers are whole
    And no call ran at two engines at once for long
    And no call ran more often than <attempts> times
    And each call ended once, and none is counted at an engine

    Examples:
      | attempts | seed | least |
      | 2        | 1    | 60    |
      | 2        | 2    | 60    |
      | 2        | 3    | 60    |
      | 2        | 4    | 60    |
      | 3        | 5    | 60    |
      | 3        | 6    | 60    |
      | 3        | 7    | 60    |
      | 3        | 8    | 60    |

Feature: An answer is not cut because its engine makes no event for a while

  Guards against ending a run of a sound engine before another one is sure to go on with it.
  An engine that read long prompts of others sent nothing to the one stream that an instance
  had there for 0.6 seconds; the stream was closed, could not be resumed, and its caller got
  a part of the answer, with nine of ten seconds left.

  Scenario: A stream whose engine pauses ends whole where no other engine can go on with it
    When a stream has its first event, and its engine pauses for 0.9 seconds
      | where                                           |
      | the retry budget is spent                       |
      | the adapter takes too long to load elsewhere    |
      | all other engines refuse it                     |
      | there is no other engine                        |
      | the others read prompts for 1.5 seconds first   |
      | the others break off within their first event   |
    Then each of these answers is whole and has each event once
    And no call ran at two engines at once for long

  Scenario: A stream is not sent again to its silent engine, which has it
    Guards against a second run at the same engine that replaces the first, and uses an attempt.

    When the only engine pauses for 0.9 seconds, and goes on with one of two streams
    Then the other stream is not sent to it again

  Scenario: A stream goes on at its sound engine as the one that took it over ends at once
    Guards against giving up a sound run for one that has not brought an event yet.

    When a stream's engine pauses for 1.5 seconds, and the one that takes it over ends unread
    Then each of these answers is whole and has each event once

  Scenario: A call that waits at an engine whose streams pause is not failed
    When a call waits at an engine whose only stream pauses for 0.9 seconds
      | where                                           |
      | the retry budget is spent                       |
      | the adapter takes too long to load elsewhere    |
      | all other engines refuse it                     |
      | there is no other engine                        |
    Then each of these answers is whole and has each event once
    And no call ran at two engines at once for long

  Scenario: A stream whose caller does not read is not taken for one of a silent engine
    When a stream has its first event, and its caller reads nothing for 1.5 seconds
      | where                        |
      | the others can go on at once |
    Then each of these answers is whole and has each event once
    And each of these calls ran once

  Scenario Outline: A stream whose engine went silent for good goes on elsewhere in time
    When a stream has its first event, and its engine pauses for 60 seconds
      | where   |
      | <where> |
    Then each of these answers is whole and has each event once
    And its longest pause is <longest> seconds at most
    And no call ran at two engines at once for long

    Examples:
      | where                                        | longest |
      | the others can go on at once                 | 0.8     |
      | the adapter is loaded elsewhere in time      | 1.05    |
      | the first sends elsewhere are refused        | 1.4     |
      | the adapter takes too long to load elsewhere | 2.6     |

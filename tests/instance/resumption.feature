Feature: A stream that its engine broke off is continued while its caller waits

  Guards against cutting a begun answer because the first engine that was asked to continue
  it could not do so at once: a load was overdue, the retry budget was spent for a second, or
  engines were at rest. The callers had more than eight of ten seconds left.

  Scenario Outline: It ends whole where <where>
    When a stream has its first event, and its engine breaks off
      | where   |
      | <where> |
    Then each of these answers is whole and has each event once
    And no call ran at two engines at once for long

    Examples:
      | where                                        |
      | the others can go on at once                 |
      | the adapter takes too long to load elsewhere |
      | the retry budget is spent for two seconds    |
      | all other engines rest for a second          |
      | the first sends elsewhere are refused        |

  Scenario: It is cut at once where it may not run again
    When a stream that may run once has its first event, and its engine breaks off
      | where                        |
      | the others can go on at once |
    Then each of these answers is cut within 0.1 seconds

  Scenario: It is cut before its caller leaves where the retry budget stays spent
    When a stream has its first event, and its engine breaks off
      | where                     |
      | the retry budget is spent |
    Then each of these answers is cut within 4 seconds

  Scenario: A load for a begun answer is ordered at one engine, however long it takes
    When a stream has its first event, and its engine breaks off
      | where                                        |
      | the adapter takes too long to load elsewhere |
    Then each of these answers is whole and has each event once
    And the adapter was ordered at one other engine

  Scenario: The budget leaves a begun answer a retry that other calls don't get
    When a stream has its first event, and its engine breaks off
      | where                                       |
      | other calls have used their part of retries |
    Then each of these answers is whole and has each event once
    And its longest pause is 1 seconds at most

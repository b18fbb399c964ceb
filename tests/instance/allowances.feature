Feature: An organisation's allowance holds over all instances

  An organisation may use a number of tokens a second over all instances, whether or not
  these can reach each other. Its calls arrive on a few connections: with equal shares, a
  fifth of its allowance was served; shares by demand serve all of it. The bound of each
  window is the deployment's: the rate over the window and the burst, a tenth more, and a
  slack.

  Scenario Outline: The use in a window stays within the bound: <trouble>
    Given 74 instances in 3 zones that share an allowance by demand
    When one organisation calls them: <trouble>
    Then no window of 8 seconds has more than the bound
    And at least <served> is admitted for each amount that one bucket would admit

    Examples: Goals: all of it while updates arrive, four fifths while they don't
      | trouble                   | served |
      | calm                      | 0.98   |
      | burst                     | 0.98   |
      | hot                       | 0.98   |
      | always hot                | 0.98   |
      | hot, a zone cut           | 0.80   |
      | hot, all zones cut        | 0.80   |
      | hot, a sixth hears nobody | 0.80   |
      | hot, all start again      | 0.95   |
      | calm, all start again     | 0.95   |
      | allowance down            | 0.95   |

    Examples: A new aggregator that spoke for no part refused 1,170 calls in six seconds
      | trouble                        | served |
      | busy, an owner after the other | 0.90   |
      | hot, an owner after the other  | 0.80   |

  Scenario: Equal shares serve a few connections badly
    Given 74 instances in 3 zones that share an allowance evenly
    When one organisation calls them: calm
    Then less than half is admitted for each amount that one bucket would admit

  Scenario Outline: An instance with <updates>
    Given an instance with <updates> on an allowance of 1000 a second
    When it receives calls of 100, 100 a second for 8 seconds
    Then <minimum> to <maximum> are admitted

    Examples: Alone it is its own aggregator; a slack of 1280 gives a credit of 10
      | updates              | minimum | maximum |
      | no updates           | 1       | 1       |
      | its own updates only | 80      | 95      |

  Scenario: Calls that did not run are refunded
    Given an installation whose callers have allowances of calls
    When calls of red are rejected by all endpoints again and again
    Then nothing is used of its allowance

  Scenario: A caller over its allowance is told when to retry
    Given an installation whose callers have allowances of calls
    When 30 calls of red arrive at once
    Then some are answered 429 with the time until a retry
    And a call of blue is served

  Scenario: A call that runs twice is charged twice
    Given an installation whose callers have allowances of calls
    When a call of red fails at an endpoint and is retried
    Then 2 are used of its allowance

  Scenario: An allowance counted in calls holds if each instance receives few of them
    Given an installation whose callers have allowances of calls
    And 9 more instances
    When each instance gets 0.4 calls of red a second for 60 seconds
    Then between 110 and 145 calls of red are served

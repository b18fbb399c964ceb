Feature: An organisation's allowance holds over all instances

  An organisation may have so many tokens a second run, over all instances, in touch or
  not. Its calls come by a few connections, so that equal parts of its allowance served a
  fifth of what it may have run; shares by demand serve all of it. The bound of each
  window is the deployment's: the rate over the window and the burst, a tenth more, and a
  slack.

  Scenario Outline: What is used in a window: <trouble>
    Given 74 instances in 3 zones that share an allowance by demand
    When one organisation calls them: <trouble>
    Then no window of 8 seconds has more than the bound
    And at least <served> is let in for each amount that one bucket would let in

    Examples: Aims: all of it while news arrive, four fifths while they don't
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

  Scenario: Equal parts serve a few connections badly
    Given 74 instances in 3 zones that share an allowance evenly
    When one organisation calls them: calm
    Then less than half is let in for each amount that one bucket would let in

  Scenario Outline: An instance that hears <heard>
    Given an instance that hears <heard> of an allowance of 1000 a second
    When calls of 100 come to it, 100 a second for 8 seconds
    Then <least> to <most> are let in

    Examples: Alone it is its own aggregator; a slack of 1280 gives a credit of 10
      | heard         | least | most |
      | no other ever | 1     | 1    |
      | itself alone  | 80    | 95   |

  Scenario: Calls that did not run are given back
    Given an installation whose callers have allowances of calls
    When calls of red are refused by all endpoints again and again
    Then nothing is used of its allowance

  Scenario: A caller over its allowance is told when to come back
    Given an installation whose callers have allowances of calls
    When 30 calls of red come at once
    Then some are answered 429 with the time at which there is room
    And a call of blue is served

  Scenario: A run that is sent again counts again
    Given an installation whose callers have allowances of calls
    When a call of red fails at an endpoint and is sent again
    Then 2 are used of its allowance

  Scenario: An allowance counted in calls holds where each instance has few of them
    Given an installation whose callers have allowances of calls
    And 9 further instances
    When each instance gets 0.4 calls of red a second for 60 seconds
    Then between 110 and 145 calls of red are served

Feature: The decision code follows the specification of ownership

  Scenario Outline: Random walks through the specification agree with the code
    When <walks> walks of "<limits>" with <kind> endpoints are replayed
    Then every step agreed and at least <steps> steps were compared

    Examples:
      | kind    | limits           | walks | steps |
      | fencing | late             | 60    | 1000  |
      | fencing | late_owner       | 60    | 1000  |
      | fencing | late_taker       | 60    | 1000  |
      | fencing | twice            | 60    | 1000  |
      | fencing | crash            | 60    | 600   |
      | fencing | restart          | 60    | 1000  |
      | fencing | reports_takeover | 60    | 600   |
      | fencing | two_takeovers    | 60    | 1000  |
      | plain   | late             | 60    | 1000  |
      | plain   | late_owner       | 60    | 1000  |
      | plain   | twice            | 60    | 1000  |
      | plain   | crash            | 60    | 600   |
      | plain   | restart          | 60    | 1000  |
      | plain   | reports_takeover | 60    | 600   |
      | plain   | two_takeovers    | 60    | 1000  |

  Scenario Outline: The replay notices a rule that the code breaks
    Given the code breaks the rule "<rule>"
    When <walks> walks of "<limits>" with <kind> endpoints are replayed
    Then the replay noticed a difference

    Examples:
      | rule           | kind    | limits        | walks |
      | evict_unpinned | fencing | late          | 300   |
      | evict_proven   | fencing | late          | 300   |
      | adopt_fenced   | plain   | late          | 300   |
      | accept_asked   | fencing | twice         | 300   |
      | return_idle    | fencing | late          | 300   |
      | yield_certain  | plain   | late          | 300   |
      | adopt_once     | fencing | restart       | 300   |
      | step_down      | plain   | two_takeovers | 300   |
      | newest_pin     | fencing | twice         | 600   |

  Scenario: Exploring finds no broken invariant and notices each lost rule
    When the specifications are explored
    Then each was explored to its end with no invariant broken
    And the loss of each rule broke an invariant

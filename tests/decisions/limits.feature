Feature: The sends to a rate-limited endpoint are granted one by one

  Hundreds of instances send to an endpoint that accepts a few calls a second, each less
  often than once in several seconds. The bound is one and a half times the limit in any
  four seconds, and five calls, over all of them; an endpoint that is avoided serves nobody.

  Scenario Outline: <count> instances request three times the limit: <trouble>
    When <count> instances let the owner grant each send: <trouble>
    Then no window has more than the bound
    And at least <used> of the limit is admitted

    Examples: Goals: four fifths while owners respond, otherwise what instances share
      | count | trouble                  | used |
      | 6     | calm                     | 0.8  |
      | 74    | calm                     | 0.8  |
      | 195   | calm                     | 0.8  |
      | 1800  | calm                     | 0.8  |
      | 195   | a fifth of messages lost | 0.8  |
      | 195   | a third cut off          | 0.8  |
      | 195   | all cut off              | 0.5  |
      | 6     | an owner too many        | 0.8  |
      | 1800  | an owner too many        | 0.8  |
      | 195   | a third suspended        | 0.8  |
      | 195   | limit falls to a quarter | 0.4  |

  Scenario Outline: Shares of <way> fail the goal: <result>
    When <count> instances share the limit by <way>: <trouble>
    Then <result>

    Examples:
      | way         | count | trouble                  | result                                 |
      | equal parts | 195   | calm                     | less than 0.5 of the limit is admitted |
      | by demand   | 1800  | calm                     | a window has more than the bound       |
      | by demand   | 195   | limit falls to a quarter | a window has more than the bound       |

  Scenario Outline: A send request <case>
    Given an owner of an endpoint that accepts 4 calls a second
    When a send request <case>
    Then it grants <sends> sends in all

    Examples: A burst of two, and one more that is soon due
      | case                              | sends |
      | comes five times under one number | 1     |
      | comes five times                  | 2     |
      | comes five times, from several    | 2     |
      | waits for 0.4 seconds at most     | 3     |

  Scenario: Sends before a limit was known are deducted, each time that it begins
    Given an owner of an endpoint that accepts 4 calls a second
    When an instance reports 6 earlier sends, ends the limit and announces it again
    Then no send is available for 1 second both times

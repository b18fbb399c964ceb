Feature: The sends to an endpoint that names a limit are given out one by one

  Hundreds of instances send to an endpoint that takes some calls a second, each less often
  than once in seconds. The bound is one and a half times the limit in any four seconds, and
  five calls, over all of them; an endpoint that is shunned serves nobody.

  Scenario Outline: <count> instances ask for three times the limit: <trouble>
    When <count> instances have the sends given out: <trouble>
    Then no window has more than the bound
    And at least <used> of the limit is let in

    Examples: Aims: four fifths while owners are heard, what is left to them else
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

  Scenario Outline: Shares of <way> do not do: <result>
    When <count> instances share the limit by <way>: <trouble>
    Then <result>

    Examples:
      | way         | count | trouble                  | result                                |
      | equal parts | 195   | calm                     | less than 0.5 of the limit is let in  |
      | by demand   | 1800  | calm                     | a window has more than the bound      |
      | by demand   | 74    | limit falls to a quarter | a window has more than the bound      |

  Scenario Outline: An ask <case>
    Given an owner of an endpoint that takes 4 calls a second
    When an ask <case>
    Then it gives <sends> sends out in all

    Examples: A burst of two, and one more that is soon due
      | case                            | sends |
      | comes five times under a number | 1     |
      | comes five times                | 2     |
      | comes five times, from a few    | 2     |
      | waits for 0.4 seconds at most   | 3     |

  Scenario: What was sent before a limit was known is taken off, each time that it begins
    Given an owner of an endpoint that takes 4 calls a second
    When an instance tells that 6 calls were sent before, ends the limit and names it again
    Then no send is free for 1 second both times

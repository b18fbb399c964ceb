Feature: The soak tells a cut of its own making from one by an instance

  Runners break answers off as the soak tells them to, and all that runs on one ends
  with it. A stream that ended so at an instance that was leaving was counted as cut by
  the drain, 0.042 seconds behind its sending, where the instance had drained with
  "cut": 0.

  Scenario Outline: Of calls cut at a drain, runners broke off <spoiled>
    Given a soak in which the calls "r1, r2" were cut at instances that were leaving
    When the runners tell that they broke off "<spoiled>"
    Then <violations> calls were cut by a drain and <excused> by runners

    Examples:
      | spoiled | violations | excused |
      | nothing | 2          | 0       |
      | r1      | 1          | 1       |
      | r1, r2  | 0          | 2       |
      | r3      | 2          | 0       |

  Scenario Outline: A runner with a limit gets <calls> calls, <late> behind its naming
    Given a soak in which a runner that may get 18 calls gets <calls>, <late> of them late
    Then <violations> runners got more than their limit

    Examples: A runner got 15 calls in the 0.6 seconds before it named 2.2 a second
      | calls | late | violations |
      | 22    | 7    | 0          |
      | 22    | 18   | 0          |
      | 22    | 19   | 1          |

  Scenario Outline: A deadly call that runs <runs>
    Given a soak in which a deadly call ran at "<runs>" seconds
    Then <violations> deadly calls ran again

    Examples:
      | runs                                     | violations |
      | 1, 2                                     | 0          |
      | 1, 2, 3, 4, 5, 6, 6.4                    | 0          |
      | 1, 2, 3, 7, 8, 9                         | 0          |
      | 1, 2, 3, 7, 8, 9, 10                     | 1          |
      | 1, 2, 3, 7, 8, 9, 10 at a frozen one     | 0          |

  Scenario Outline: What runners said is kept to, or not, where a call comes <after> s later
    Given a soak in which a runner says <word> to a call, and <calls> more come <after> s later
    Then <late> calls came too late and <broken> rests were broken

    Examples: Two calls are allowed in a rest, and any in its first half second
      | word    | calls | after | late | broken |
      | leaving | 1     | 1.9   | 0    | 0      |
      | leaving | 3     | 2.1   | 3    | 0      |
      | rest    | 2     | 1.0   | 0    | 0      |
      | rest    | 3     | 1.0   | 0    | 1      |
      | rest    | 9     | 0.4   | 0    | 0      |
      | rest    | 9     | 3.1   | 0    | 0      |

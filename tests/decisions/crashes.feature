Feature: Evidence identifies the call that crashes the endpoints that run it

  Scenario Outline: <history>
    When the evidence has the history "<history>"
    Then at <at> the call a is refused for <seconds> seconds

    Examples:
      | history                                                       | at  | seconds |
      | nothing                                                       | 5   | 0       |
      | 1 a strong e1                                                 | 5   | 0       |
      | 1 a strong e1, 2 a strong e1                                  | 5   | 0       |
      | 1 a strong e1, 2 a strong e2                                  | 5   | 57      |
      | 1 a strong e1, 2 b strong e2                                  | 5   | 0       |
      | 1 a weak e1, 2 a weak e2                                      | 5   | 0       |
      | 1 a weak e1, 2 a weak e2, 3 a weak e3                         | 5   | 598     |
      | 1 a weak e1, 2 a strong e2                                    | 5   | 0       |
      | 1 a strong e1, 2 a strong e2                                  | 63  | 0       |
      | 1 a strong e1, 2 a strong e2, 63 a strong e3                  | 65  | 598     |
      | 1 a strong e1, 2 a strong e2, 63 a strong e3, 670 a strong e4 | 671 | 3599    |
      | 1 a strong e1, 2 a cleared, 3 a strong e2                     | 5   | 0       |
      | 1 a strong e1, 2 a strong e2, 3 a cleared                     | 5   | 0       |
      | 1 a strong e1, 2 a cleared, 3 a strong e1                     | 5   | 0       |
      | 1 a strong e1, 2 a strong e2, 3 400 others                    | 5   | 57      |
      | 1 a strong e1, 2 400 others, 3 a strong e2                    | 5   | 0       |
      | 1 a strong e1, 700 time passes, 701 a strong e2               | 702 | 0       |

    Examples: One crash that instances saw differently, the weaker evidence first or last
      | history                                                | at | seconds |
      | 1 a strong e1, 2 a strong e2, 3 a weak e2              | 5  | 57      |
      | 1 a weak e1, 2 a strong e1, 3 a strong e2              | 5  | 58      |
      | 1 a strong e1, 2 a strong e2, 3 a weak e2, 3 a cleared | 5  | 0       |

    Examples: Calls only present at crashes that have a stronger suspect, or a confirmed cause
      | history                                                             | at | seconds |
      | 1 a weak e1, 2 a weak e2, 3 a weak e3, 4 b strong e1                | 5  | 0       |
      | 1 b strong e1, 1 a weak e1, 2 a weak e2, 3 a weak e3, 4 a weak e4   | 5  | 3599    |
      | 1 a weak e1, 2 a weak e2, 3 a weak e3, 4 b strong e1, 4.5 b cleared | 5  | 598     |
      | 1 b strong e1, 2 b strong e2, 3 a weak e1, 3 a weak e2, 4 a weak e3 | 5  | 0       |
      | 1 a strong e1, 2 a strong e2, 3 b strong e1, 4 b strong e2          | 5  | 57      |

    Examples: A part of prompts is refused behind three crashes that nobody refutes
      | history                                                                                    | at  | seconds |
      | 1 a shared e1, 2 a shared e2                                                               | 3   | 0       |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3                                                | 5   | 8       |
      | 1 a shared e1, 1.2 a shared e2, 1.4 a shared e3                                            | 1.5 | 0       |
      | 1 a shared e1, 1.2 a shared e2, 1.4 a shared e3                                            | 1.7 | 9.7     |
      | 1 a shared e1, 1.01 a shared e2, 1.02 a shared e3, 1.03 a shared e4                        | 5   | 0       |
      | 1 a shared e1, 2 a shared e2, 2.5 a cleared, 3 a shared e3                                 | 5   | 0       |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3, 4 a cleared                                   | 5   | 0       |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3, 14 a shared e4                                | 15  | 99      |
      | 1 a shared e1, 2 a shared e2, 40 time passes, 41 a shared e3                               | 42  | 9       |
      | 1 a shared e1, 36 time passes, 36 a shared e2, 71 time passes, 71 a shared e3              | 72  | 9       |
      | 1 a shared e1, 2 a shared e2, 2.5 a cleared, 40 time passes, 41 a shared e3                | 42  | 0       |
      | 1 a shared e1, 2 a shared e2, 3700 time passes, 3701 a shared e3                           | 3702 | 0       |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3, 4 a survived 1.5, 5 a shared e4               | 6   | 9       |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3, 4 a survived 2.5, 5 a shared e4               | 6   | 0       |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3, 4 a shared e4, 5 a readmitted e1              | 6   | 8       |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3, 4 a shared e4, 5 a readmitted e1+e2           | 6   | 0       |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3, 4 a shared e4, 5 a shared e5, 6 a shared e6   | 7   | 9999    |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3, 4 a shared e4, 5 a shared e5, 6 a shared e6, 7 a shared e7, 8 a shared e8 | 9 | 86399 |
      | 1 a shared e1, 2 a shared e2, 2 2000 parts, 3 a shared e3                                  | 5   | 8       |
      | 1 b shared e1, 1 a weak e1, 2 b shared e2, 2 a weak e2, 3 b shared e3, 3 a weak e3         | 5   | 0       |
      | 1 b shared e1, 1 a strong e1, 2 b shared e2, 2 a strong e2, 3 b shared e3                  | 5   | 0       |

  Scenario: A row keeps when a part crashed endpoints
    When the evidence has the history "1 a shared e1, 2 a shared e2, 3 a shared e3"
    Then at 5 the call a is refused for 8 seconds by a row, too

  Scenario Outline: Sound calls that share a part tell which one is the cause: <history>
    When the evidence has the history "<history>"
    Then at <at> a call with the parts <parts> is <result>

    Examples: a part that another one explains is tried, by calls without that one
      | history                                                                                  | at | parts | result  |
      | 1 a shared e1, 1 b shared e1, 2 a shared e2, 2 b shared e2, 3 a shared e3, 3 b shared e3 | 5  | ab    | refused |
      | 1 a shared e1, 1 b shared e1, 2 a shared e2, 2 b shared e2, 3 a shared e3, 3 b shared e3 | 5  | ac    | tried   |
      | 1 a shared e1, 1 b shared e1, 2 a shared e2, 2 b shared e2, 3 a shared e3, 3 b shared e3 | 5  | cd    | run     |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3, 4 a shared e4, 1 b shared e1, 2 b shared e2, 3 b shared e3 | 5  | ac | refused |
      | 1 a shared e1, 2 a shared e2, 3 a shared e3, 4 a shared e4, 1 b shared e1, 2 b shared e2, 3 b shared e3 | 5  | bc | tried   |

    Examples: a part is tried where a refused call and another part explain all crashes
      | history                                                                                  | at | parts | result  |
      | 1 c strong e1, 2 c strong e2, 1 a shared e1, 2 a shared e2, 3 a shared e3, 3 b shared e3, 4 b shared e4, 5 b shared e5, 5 a shared e5 | 6 | ad | refused |
      | 1 c strong e1, 2 c strong e2, 1 a shared e1, 2 a shared e2, 3 a shared e3, 3 b shared e3, 4 b shared e4, 5 b shared e5, 5 a shared e5 | 11 | ad | tried |
      | 1 c strong e1, 2 c strong e2, 1 a shared e1, 2 a shared e2, 3 a shared e3 | 11 | ad | refused |

  Scenario Outline: The last part of a prompt is the call's own
    Then a prompt of the parts <parts> shares <count> of them

    Examples:
      | parts   | count |
      | a       | 0     |
      | a,b     | 1     |
      | a,b,c   | 2     |
      | a,b,a,c | 2     |

  Scenario: Sets of evidence that are merged in any order agree
    Given 200 random sets of evidence at 4 instances
    When each instance reports all its evidence to each other, in a random order
    Then all instances refuse the same calls and have the same checksum

  Scenario Outline: In any order of <calls> crashing calls at <instances> instances
    Given <orders> random orders in which evidence reaches others within 1 second
    When <calls> crashing calls come each 0.2 to 0.8 seconds to <instances> instances
    Then each runs twice, and as often as it came before all had its second crash
    And calls that only ran during two crashes are not refused

    Examples:
      | calls | instances | orders |
      | 1     | 1         | 100    |
      | 1     | 6         | 100    |
      | 3     | 6         | 100    |
      | 3     | 40        | 20     |

  Scenario Outline: Evidence from another instance or from a row is validated
    Then the evidence "<evidence>" is malformed

    Examples:
      | evidence                      |
      | [1]                           |
      | [[1, "e", 3, 0]]              |
      | [["short", "e", 3, 0]]        |
      | [["IDENTITY", 7, 3, 0]]       |
      | [["IDENTITY", "e", 9, 0]]     |
      | [["IDENTITY", "e", true, 0]]  |
      | [["IDENTITY", "e", 3, -1]]    |
      | [["IDENTITY", "e", 3, "old"]] |
      | [["IDENTITY", "e", 3, NaN]]   |
      | [["IDENTITY", "e", 3]]        |

  Scenario Outline: Calls are the same work or not by <difference>
    Then a call that differs in <difference> is <same> work

    Examples:
      | difference     | same     |
      | nothing        | the same |
      | id             | the same |
      | time limit     | the same |
      | other headers  | the same |
      | case of host   | the same |
      | method         | other    |
      | host           | other    |
      | target         | other    |
      | body           | other    |
      | model          | other    |
      | field boundary | other    |

Feature: What is held for callers is bounded by the machine, and yields in one order

  Scenario Outline: A machine of <memory> MB and <descriptors> descriptors
    Then <total> KB are held for callers at most, <large> KB of large calls, and <connections> connections

    Examples:
      | memory | descriptors | total  | large  | connections |
      | 200    | 4100        | 60000  | 45000  | 762         |
      | 200    | 600         | 60000  | 45000  | 236         |
      | 300    | 4100        | 90000  | 67500  | 1144        |
      | 552    | 8192        | 165600 | 124200 | 2105        |
      | 24000  | 1024        | 7200000 | 5400000 | 448       |
      | 200    | 100         | 60000  | 45000  | 16          |

  Scenario Outline: <held> bytes are held, of 10000 in all and 7500 of large calls
    Guards against a call at work that is given up while an upload is kept, and against an
    answer that is cut so that large calls have room.

    Given connections that hold
      | key       | kind   | size | began | last |
      | stalled   | upload | 300  | 90    | 95   |
      | stalled 2 | upload | 400  | 90    | 98   |
      | long      | upload | 500  | 85    | 100  |
      | longer    | upload | 500  | 80    | 100  |
      | newest    | upload | 600  | 99.9  | 100  |
      | older     | upload | 600  | 99    | 100  |
      | behind    | input  | 700  |       |      |
      | unread    | answer | 800  |       | 98   |
      | read      | answer | 900  |       | 99.9 |
    When <held> bytes are held, of 10000 in all and 7500 of large calls
    Then these yield in turn: <yielding>

    Examples:
      | held  | yielding                                                              |
      | 6500  | nothing                                                               |
      | 6600  | stalled 2                                                             |
      | 7100  | stalled 2, stalled                                                    |
      | 8100  | stalled 2, stalled, longer, long                                      |
      | 8300  | stalled 2, stalled, longer, long, newest                              |
      | 12900 | stalled 2, stalled, longer, long, newest, older                       |
      | 13000 | stalled 2, stalled, longer, long, newest, older, behind               |
      | 14000 | stalled 2, stalled, longer, long, newest, older, behind, unread       |
      | 20000 | stalled 2, stalled, longer, long, newest, older, behind, unread, read |

Feature: What an endpoint announced decides whether calls may go to it

  Scenario Outline: <history>
    When an endpoint's history is "<history>", its drain 2 seconds
    Then at <at> it is tried in <wait>, <resort> a last resort, and a call <may> be sent

    Examples: A back-off of 3 s is extended by half of its jitter; then a slow start
      | history                                        | at     | wait  | resort | may     |
      | nothing                                        | 1      | 0     | no     | may     |
      | 0 rest 3                                       | 1      | 2.375 | no     | may not |
      | 0 rest 3, 1 rest 1                             | 2      | 1.375 | no     | may not |
      | 0 rest 3, 1 rest 4                             | 2      | 3.5   | no     | may not |
      | 0 rest 3, 1 taken of 0                         | 2      | 1.375 | no     | may not |
      | 0 rest 3                                       | 3.4    | 0     | no     | may     |
      | 0 rest 3, 3.4 sent                             | 3.5    | 0.15  | no     | may     |
      | 0 rest 3, 3.4 sent, 3.5 taken of 0             | 3.5    | 0.15  | no     | may     |
      | 0 rest 3, 3.4 sent, 3.5 taken of 3.4           | 3.5    | 0     | no     | may     |
      | 0 rest 3, 3.4 sent, 3.5 taken of 3.4, 3.5 sent | 3.5    | 0     | no     | may     |
      | 0 rest 3, 3.4 sent                             | 3.7    | 0     | no     | may     |
      | 0 rest 3, 3.4 sent, 3.5 rest 1                 | 3.6    | 1.025 | no     | may not |
      | 0 rest 1e9                                     | 3600.4 | 0.1   | no     | may not |
      | 0 rest 1e9                                     | 3601   | 0     | no     | may     |

    Examples: A draining one gets for half of its time what no other can run
      | history                | at  | wait  | resort | may     |
      | 0 leaves               | 0.9 | 0     | is     | may     |
      | 0 leaves               | 1.1 | 0     | no     | may not |
      | 0 leaves, 1 leaves     | 1.1 | 0     | no     | may not |
      | 0 leaves, 0.5 rest 0.2 | 0.6 | 0.125 | is     | may not |

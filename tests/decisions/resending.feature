Feature: A call is sent again if it may run, and if that takes no slot from others

  Scenario Outline: A call of a route that is <kind> after <error>
    Given a call of a route that is <kind> with 2 attempts
    And <sends> sends, <unreached> unreached, <runs> runs, <left> s left, <answer>
    When its last send ends with <error>, <slots> to spare and <budget>
    Then the obstacle to sending it again is <reason>

    Examples:
      | kind       | sends | unreached | runs | left | answer    | error     | slots    | budget    | reason              |
      | repeatable | 1     | 0         | 1    | 1    | no answer | a failure | slots    | a budget  | nothing             |
      | repeatable | 1     | 0         | 1    | 1    | no answer | a failure | no slots | a budget  | no slot to spare    |
      | repeatable | 2     | 0         | 2    | 1    | no answer | a failure | slots    | a budget  | all attempts used   |
      | repeatable | 1     | 0         | 1    | 0.01 | no answer | a failure | slots    | a budget  | no time left        |
      | repeatable | 1     | 0         | 1    | 1    | an answer | a failure | slots    | a budget  | answer begun        |
      | repeatable | 1     | 0         | 1    | 1    | no answer | a failure | slots    | no budget | retry budget spent  |
      | single     | 1     | 0         | 1    | 1    | no answer | a failure | slots    | a budget  | may not run twice   |
      | single     | 1     | 0         | 1    | 1    | no answer | a loss    | slots    | a budget  | may not run twice   |
      | single     | 1     | 0         | 0    | 1    | no answer | a refusal | no slots | a budget  | nothing             |
      | single     | 1     | 0         | 0    | 1    | no answer | a refusal | slots    | no budget | retry budget spent  |
      | single     | 4     | 0         | 0    | 1    | no answer | a refusal | slots    | a budget  | sent too often      |
      | single     | 5     | 2         | 0    | 1    | no answer | a refusal | slots    | a budget  | nothing             |
      | single     | 8     | 8         | 0    | 1    | no answer | no way    | no slots | no budget | nothing             |
      | single     | 9     | 9         | 0    | 1    | no answer | no way    | slots    | a budget  | unreached too often |

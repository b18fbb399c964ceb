Feature: A run is red but for the failures that are listed

  Scenario Outline: What makes a run red
    Given the list of known failures names <listed>
    When a run ends with a as <a> and b as <b>
    Then the run is <verdict>, with <passed> passed, <failed> failed and <known> known

    Examples:
      | listed  | a         | b       | verdict                              | passed | failed | known |
      | nothing | passed    | passed  | green                                | 2      | 0      | 0     |
      | nothing | passed    | failed  | red: failed: b                       | 1      | 1      | 0     |
      | b       | passed    | failed  | green                                | 1      | 0      | 1     |
      | b       | passed    | error   | green                                | 1      | 0      | 1     |
      | b       | passed    | passed  | red: listed as failing, and passed: b | 2     | 0      | 0     |
      | b       | passed    | skipped | red: skipped: b                      | 1      | 1      | 0     |
      | b       | passed    | undefined | red: undefined: b                  | 1      | 1      | 0     |
      | b       | failed    | failed  | red: failed: a; no scenario passed   | 0      | 1      | 1     |
      | c       | passed    | passed  | red: listed, and not run: c          | 2      | 0      | 0     |

  Scenario: A failure outside the scenarios is red
    Given the list of known failures names nothing
    When a run ends with a as passed and b as passed, and fails beside them
    Then the run is red: the run failed outside its scenarios, with 2 passed, 0 failed and 0 known

  Scenario Outline: A list that can't be read ends the run
    Then a list of known failures with <lines> is <verdict>

    Examples:
      | lines                                             | verdict                                        |
      | a / make test / late / issue 1                    | read as 1                                      |
      | # a comment; a / make test / late / issue 1       | read as 1                                      |
      | a / make test / late                              | refused: line 1: not 'test                     |
      | a / make test / late / issue 1 / more             | refused: line 1: not 'test                     |
      | a / x / y / 1; a / x / y / 1                      | refused: line 2: a is listed twice             |
      | a / x / y / 1; b / x / y / 1; c / x / y / 1; d / x / y / 1 | refused: 4 failures, where 3 may be listed |
      | tests/crowds/a / x / y / 1; b / x / y / 1; c / x / y / 1; d / x / y / 1 | read as 4 |

Feature: Positions order the states of a store that may be restored

  Scenario Outline: <first> is before <second>
    Then the position <first> is before <second>, also as numbers

    Examples:
      | first     | second    |
      | 0 0       | 0 1       |
      | 1 900     | 2 1       |
      | 1 900     | 1 901     |
      | 2 900     | 3 900     |
      | 0 1000000 | 1 0       |
      | 7 0       | 4095 5000 |

  Scenario: A position is not compared with a bare number
    Then the position 1 900 can't be compared with 901

  Scenario Outline: Answers of the eras <eras> are <verdicts>
    When answers have the eras <eras>
    Then they are <verdicts>
    And the restores are <restores>

    Examples:
      | eras       | verdicts                     | restores       |
      | 1, 1       | valid, valid                 | none           |
      | 5, 5       | valid, valid                 | none           |
      | 0, 0, 1    | valid, valid, valid          | 0 to 1         |
      | 1, 2, 1, 2 | valid, valid, ignored, valid | 1 to 2         |
      | 1, 2, 2, 3 | valid, valid, valid, valid   | 1 to 2, 2 to 3 |
      | 1, 3, 2    | valid, valid, ignored        | 1 to 3         |

  Scenario: A write that expects a row of an earlier era is a conflict, and is not sent
    When the store is restored, and a row of the earlier era is to be written
    Then it is a conflict, and no call was made

  Scenario Outline: Rows known as of 10 and read at <read> are known as of <known>
    After a restore at 20, rows may be missing until 22.5.

    When the store is restored at 20, and its rows are read at <read>
    Then all rows are known as of <known>

    Examples:
      | read | known |
      | 19   | 10    |
      | 22.4 | 10    |
      | 22.5 | 22.5  |

  Scenario Outline: Operator rows are forwarded as they are in force
    Given the operator's rows "config 5, version/a 6"
    When the store's row "config" is older than what is in force, at <version> of era 1
    Then those since 6 are <newer>
    And the rows that the store lacks are <ahead>

    Examples:
      | version | newer  | ahead  |
      | 3       | config | config |
      | 9       | config | config |

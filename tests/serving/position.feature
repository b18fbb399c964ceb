Feature: States of a store that may come back older are put in order

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
    When answers tell the eras <eras>
    Then they are <verdicts>
    And <returns> are told

    Examples:
      | eras        | verdicts             | returns          |
      | 1, 1        | sound, sound         | no returns       |
      | 5, 5        | sound, sound         | no returns       |
      | 0, 0, 1     | sound, sound, sound  | 0 to 1           |
      | 1, 2, 1, 2  | sound, sound, void, sound | 1 to 2      |
      | 1, 2, 2, 3  | sound, sound, sound, sound | 1 to 2, 2 to 3 |
      | 1, 3, 2     | sound, sound, void   | 1 to 3           |

  Scenario: A write that expects a row of an era that is over is a conflict, and not sent
    When the store has come back, and a row of before is to be written
    Then it is a conflict, and no call was made

  Scenario Outline: What is read at <read> makes knowledge of 10 as of <known>
    A return at 20 lets rows be lacking until 22.5.

    When the store came back older at 20, and its rows are read at <read>
    Then all rows are known as of <known>

    Examples:
      | read | known |
      | 19   | 10    |
      | 22.4 | 10    |
      | 22.5 | 22.5  |

  Scenario Outline: Rows of the operator are passed on as they are in force
    Given the operator's rows "config 5, version/a 6"
    When the store's row "config" is older than what is in force, at <version> of era 1
    Then those since 6 are <newer>
    And the rows that the store lacks are <ahead>

    Examples:
      | version | newer  | ahead  |
      | 3       | config | config |
      | 9       | config | config |

Feature: An instance suspects that it reaches no endpoint only for good reasons

  Scenario Outline: After "<signs>"
    When calls show "<signs>"
    Then it is <suspicion>

    Examples: "s" is a send, "h" an answer, "f" a failed connection, each with a time
      | signs                  | suspicion      |
      | s@0, t@0.4             | not suspicious |
      | s@0, t@0.5             | suspicious     |
      | s@0, h@0.4, t@2        | not suspicious |
      | s@0, h@0.4, s@1, t@1.4 | not suspicious |
      | s@0, h@0.4, s@1, t@1.5 | suspicious     |
      | f1@0, f1@0.1, t@0.2    | not suspicious |
      | f1@0, f2@0.1, t@0.2    | suspicious     |
      | f1@0, f2@1.1, t@1.2    | not suspicious |
      | f1@0, f2@0.1, h@0.2, t@0.3 | suspicious |
      | t@5                    | not suspicious |

  Scenario Outline: Of <endpoints> the choice of <count> spans <zones> zones and <services> services
    When <count> of <endpoints> are chosen to be checked, with 20 seeds
    Then each choice has <chosen> of them, of <zones> zones and <services> services at least

    Examples: Endpoints are given as ZONE/SERVICE and a number
      | endpoints                        | count | chosen | zones | services |
      | z1/a 5, z2/a 5, z1/b 5, z2/b 5   | 3     | 3      | 2     | 2        |
      | z1/a 20, z2/a 1                  | 3     | 3      | 2     | 1        |
      | z1/a 2                           | 3     | 2      | 1     | 1        |
      | z1/a 9, z2/a 9, z3/a 9           | 3     | 3      | 3     | 1        |
      | z1/a 9, z2/b 1, z3/c 1           | 8     | 8      | 3     | 3        |

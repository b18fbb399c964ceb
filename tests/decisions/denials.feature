Feature: The time of an adapter's first denial is kept

  Scenario Outline: Since when an adapter waits
    When at an owner "<history>"
    Then at <at> the adapter a waits since <since>

    Examples:
      | history                                 | at | since |
      | nothing                                 | 5  | 5     |
      | 1 a is denied                           | 5  | 1     |
      | 1 a is denied, 4 a is denied            | 5  | 1     |
      | 1 a is denied                           | 20 | 20    |
      | 1 a is denied, 12 a is denied           | 20 | 1     |
      | 1 a is denied, 4 a is loaded            | 5  | 5     |
      | 1 b is denied                           | 5  | 5     |
      | 1 a is denied, 2 5000 others are denied | 5  | 5     |

Feature: The engines of an adapter are ranked without a new ring for each call

  Guards against a ring that is built twice for each stream that is resumed: its engines are
  those of one version, and the next call's are all again.

  Scenario Outline: Calls rank <sets> sets of engines in turn, and build <rings> rings
    When 30 calls rank <sets> sets of engines in turn
    Then <rings> rings were built, and each rank is that of a new one

    Examples:
      | sets | rings |
      | 1    | 1     |
      | 3    | 3     |
      | 4    | 30    |

Feature: Where calls may go, by homes, evacuations and cold endpoints

  Scenario Outline: An evacuated zone is a last resort for a while
    Then a zone whose row came at 10, unnoticed for <age> s of <limit>, gets nothing from <stop>

    Examples: At most one second, and never later than two fifths of the limit
      | age | limit | stop |
      | 0   | 5     | 11   |
      | 1   | 5     | 11   |
      | 1.5 | 5     | 10.5 |
      | 2   | 5     | 10   |
      | inf | 5     | 10   |
      | 0   | 1     | 10.4 |

  Scenario Outline: An endpoint is cold by <history>
    Then an endpoint with the history "<history>" is cold until <end>

    Examples: The same entry received again does not extend the time
      | history                            | end   |
      | nothing                            | -inf  |
      | 0 entry 3                          | 3     |
      | 0 entry 3, 1 entry 3               | 3     |
      | 0 entry 3, 1.2 entry 1.8           | 3     |
      | 0 entry 3, 1.2 entry 0             | 1.2   |
      | 0 entry 1e9                        | 60    |
      | 0 entry 3, 4 entry 0, 5 entry 3    | 8     |
      | 0 answer 2                         | 2     |
      | 5 returns                          | 8     |
      | 5 returns, 6 entry 4               | 10    |
      | 5 returns, 6 entry 0               | 8     |
      | 0 entry 9, 1 returns               | 9     |

  Scenario Outline: A ledger with two limits applies the lower one
    When a ledger is told "<history>"
    Then its limit at <at> is <limit>

    Examples: A cold endpoint's limit ends by itself, that of an announcement does not
      | history                               | at | limit |
      | 0 cold 4 for 3                        | 1  | 4     |
      | 0 cold 4 for 3                        | 3  | None  |
      | 0 cold 4 for 3, 1 cold 4 for 1        | 2  | 4     |
      | 0 named 2, 0 cold 4 for 3             | 1  | 2     |
      | 0 named 6, 0 cold 4 for 3             | 1  | 4     |
      | 0 named 6, 0 cold 4 for 3             | 4  | 6     |
      | 0 cold 4 for 3, 1 named 6             | 4  | 6     |
      | 0 cold 4 for 3, 5 cold 4 for 3        | 6  | 4     |

  Scenario Outline: Regions are read from settings
    Then the regions "<text>" put z1 and z2 <how>, and <homes> in <zones>

    Examples:
      | text                | how      | homes        | zones  |
      | z1=north,z2=south   | apart    | north        | z1     |
      | z1=north,z2=north   | together | north        | z1, z2 |
      | z1=north            | together | north, south | z1     |
      |                     | together | north        | none   |

Feature: Routes, endpoints and budgets

  Scenario Outline: The longest prefix of a host is the route
    Given the routes "a.x:/", "a.x:/p/", "a.x:/p/q/" and "b.x:/p/"
    When the route of <host> and <path> is looked up
    Then it is the route <route>

    Examples:
      | host | path     | route     |
      | a.x  | /        | a.x:/     |
      | a.x  | /z       | a.x:/     |
      | a.x  | /p       | a.x:/     |
      | a.x  | /p/      | a.x:/p/   |
      | a.x  | /p/q     | a.x:/p/   |
      | a.x  | /p/q/r/s | a.x:/p/q/ |
      | a.x  | /pq/r    | a.x:/     |
      | b.x  | /        | none      |
      | b.x  | /p/1     | b.x:/p/   |
      | c.x  | /p/1     | none      |

  Scenario Outline: A split distributes calls by its weights
    When 4000 calls are split <weights>
    Then the fractions are within 0.03 of <fractions>

    Examples:
      | weights | fractions       |
      | 1       | 1.0             |
      | 90, 10  | 0.9, 0.1        |
      | 1, 1, 2 | 0.25, 0.25, 0.5 |
      | 0, 1    | 0.0, 1.0        |

  Scenario Outline: Endpoints that vanish are dropped, except around an outage
    Given a directory with the endpoints a and b
    When the history of the directory is "<history>"
    Then the endpoints are "<endpoints>"

    Examples:
      | history                                       | endpoints |
      | 0 a vanishes                                  | b         |
      | 0 returns, 1 a vanishes                       | a b       |
      | 0 returns, 1 a vanishes, 2 expires            | a b       |
      | 0 returns, 1 a vanishes, 3 expires            | b         |
      | 0 returns, 1 a vanishes, 2 a comes, 3 expires | a b       |
      | 0 returns, 3 a vanishes                       | b         |
      | 0 lists b                                     | b         |
      | 0 returns, 0 lists b, 3 expires               | b         |
      | 0 returns, 0 lists b, 1 expires               | a b       |

  Scenario Outline: Retries are limited to a fraction of the requests in a window
    Given a budget of 0.2 a request and a slack of 10 in 10 seconds
    When <requests> requests come at 0 and <instances> instances are known
    Then <retries> retries are allowed at <at>

    Examples:
      | requests | instances | at | retries |
      | 0        | 1         | 0  | 6       |
      | 0        | 2         | 0  | 3       |
      | 100      | 2         | 0  | 15      |
      | 100      | 2         | 9  | 15      |
      | 100      | 2         | 11 | 3       |

  Scenario: Spent retries are not restored within the window
    Given a budget of 0.2 a request and a slack of 10 in 10 seconds
    When 0 requests come at 0 and 1 instances are known
    Then 6 retries are allowed at 0
    And 0 retries are allowed at 9
    And 6 retries are allowed at 11

  Scenario Outline: Endpoints are ejected by the outcomes of their calls
    Given the health of 4 endpoints
    When the history of their calls is "<history>"
    Then at <at> the usable endpoints are "<usable>"

    Examples:
      | history                                                                       | at  | usable  |
      | 0 a fails 2                                                                   | 0   | a b c d |
      | 0 a fails 3                                                                   | 0   | b c d   |
      | 0 a fails 3                                                                   | 1   | a b c d |
      | 0 a fails 2, 0 a succeeds, 0 a fails 2                                        | 0   | a b c d |
      | 0 a fails 3, 1 a fails 1                                                      | 2.9 | b c d   |
      | 0 a fails 3, 1 a succeeds, 1 a fails 2                                        | 1   | a b c d |
      | 0 a fails 3, 0 b fails 3                                                      | 0   | c d     |
      | 0 a fails 3, 0 b fails 3, 0 c fails 3                                         | 0   | a b c d |
      | 0 a succeeds 3, 0 a fails 1, 0 a succeeds 2, 0 a fails 1                      | 0   | a b c d |
      | 0 a succeeds 2, 0 a fails 1, 0 a succeeds 2, 0 a fails 1                      | 0   | b c d   |
      | 0 a succeeds 7, 0 a fails 1, 0 a succeeds 6, 0 a fails 1                      | 0   | a b c d |
      | 0 a fails 2, 9 a succeeds 4, 9 a fails 1                                      | 9   | a b c d |
      | 0 a fails 3, 1 a fails 3                                                      | 2.9 | b c d   |
      | 0 a can't be reached                                                          | 0.4 | b c d   |
      | 0 a can't be reached                                                          | 0.6 | a b c d |
      | 0 a can't be reached, 0.6 a can't be reached                                  | 1.5 | b c d   |
      | 0 a can't be reached, 0.6 a is tried                                          | 0.7 | b c d   |
      | 0 a can't be reached, 0.6 a is tried, 0.7 a answers                           | 0.7 | a b c d |
      | 0 a can't be reached, 0 b can't be reached, 0 c can't be reached              | 0   | d       |
      | 0 a can't be reached, 0 b can't be reached, 0 c can't be reached, 0 d fails 3 | 0   | d       |
      | 0 a can't be reached, 0 b can't be reached, 0 c can't be reached, 0 d can't be reached | 0   | a b c d |

  Scenario Outline: A call goes to the least loaded endpoint, in its local zone first
    Given endpoints with 4 slots: a in zone z1, b in zone z1 and c in zone z2
    When a runs <a>, b runs <b> and c runs <c>
    Then a call from <zone> goes to <endpoint>

    Examples:
      | a | b | c | zone | endpoint |
      | 0 | 0 | 0 | z1   | a or b   |
      | 1 | 0 | 0 | z1   | b        |
      | 1 | 1 | 0 | z1   | a or b   |
      | 3 | 3 | 0 | z1   | c        |
      | 0 | 0 | 0 | z2   | c        |
      | 0 | 0 | 3 | z2   | a or b   |
      | 0 | 0 | 1 | z2   | c        |

  Scenario: The preferred endpoint of an adapter is stable
    Given 9 engines
    When the preferred endpoints of 200 adapters are computed
    Then each engine is preferred by at least 8 of them
    And without one engine only its own adapters prefer another

Feature: Subscribers' reports are added up, and operator rows are forwarded

  Scenario Outline: The running calls at an engine are summed over subscribers
    When subscribers report "<reports>"
    Then <running> calls run and <tokens> tokens are unread in all

    Examples:
      | reports                               | running | tokens |
      | m runs 2, n runs 3                    | 5       | 0      |
      | m runs 2, m runs 1, n runs 3          | 4       | 0      |
      | m runs 2, m runs 0                    | 0       | 0      |
      | m runs 2, n runs 3, m is gone         | 3       | 0      |
      | m reads 500, n reads 300, m reads 100 | 0       | 400    |
      | m reads 500, n reads 300, n is gone   | 0       | 500    |
      | m is gone                             | 0       | 0      |

  Scenario Outline: A report to an aggregator covers all zones
    When calls begin and end as "<calls>"
    Then the next report to the aggregator is <report>

    Examples:
      | calls                                                | report               |
      | nothing                                              | nothing              |
      | z1 begins                                            | z1 begun 1 running 1 |
      | z1 begins, z1 ends                                   | z1 begun 1 running 0 |
      | z1 begins, is reported                               | nothing              |
      | z1 begins, is reported, is requested in full         | z1 begun 0 running 1 |
      | z1 begins, is reported, z1 ends                      | z1 begun 0 running 0 |
      | z2 begins, is reported by zone, is requested in full | z2 begun 0 running 1 |

  Scenario Outline: Operator rows that can't be read are refused
    Then the row "<row>" is <verdict>

    Examples:
      | row             | verdict |
      | complete        | read    |
      | deleted         | read    |
      | not packed      | refused |
      | truncated       | refused |
      | too large       | refused |
      | a field too few | refused |
      | of another type | refused |

  Scenario Outline: The rows that are newer than a version are forwarded
    Given the operator's rows "<rows>"
    Then those since <version> are <newer>

    Examples:
      | rows          | version | newer   |
      | a 1, b 2, c 3 | 0       | a b c   |
      | a 1, b 2, c 3 | 2       | c       |
      | a 1, b 2, a 3 | 1       | b a     |
      | a 3, a 1      | 2       | a       |
      | a 1           | 1       | nothing |

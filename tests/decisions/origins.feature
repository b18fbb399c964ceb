Feature: What began a stream is remembered for as long as it may be resumed

  Guards against a version that is guessed where instances disagree, a memory that grows with
  the rate of streams, and one that forgets a stream which may still be resumed.

  Scenario Outline: Instances that know <findings> know <result> together
    When instances know <findings> of a stream
    Then together they know <result>

    Examples:
      | findings                          | result          |
      | unknown                           | unknown         |
      | unknown, local v1                 | local v1        |
      | remote v1, unknown                | remote v1       |
      | only_version v2, remote v1, mixed | remote v1       |
      | only_version v1, unknown          | only_version v1 |
      | only_version v1, only_version v1  | only_version v1 |
      | only_version v1, only_version v2  | mixed           |
      | only_version v1, mixed            | mixed           |
      | mixed, unknown                    | mixed           |

  Scenario Outline: A stream of <age> seconds is <state> where streams live for 24
    When a stream is recorded each 0.01 s for 100 s, which live for 24
    Then that of <age> seconds ago is <state>
    And at most 3200 are remembered

    Examples:
      | age | state      |
      | 0   | remembered |
      | 23  | remembered |
      | 40  | forgotten  |

  Scenario: A flood of streams is bounded, and the newest are remembered
    When a stream is recorded each 0.0001 s for 30 s, which live for 600
    Then that of 1 seconds ago is remembered
    And at most 140000 are remembered

  Scenario Outline: A service whose versions were <seen> is <result>
    When the list has <seen>, and streams live for 20
    Then the version of the service is <result>

    Examples: At 30 seconds; a gap of the list is not covered
      | seen                             | result          |
      | v1 at 0                          | only_version v1 |
      | v1 at 15                         | unknown         |
      | v1 at 0, v1 v2 at 25             | mixed           |
      | v1 v2 at 0, v1 at 5              | only_version v1 |
      | v1 v2 at 0, v1 at 15             | mixed           |
      | v1 at 0, v2 at 20                | mixed           |
      | v1 at 0, a gap at 15, v1 at 16   | unknown         |
      | an unknown one at 0              | unknown         |
      | nothing                          | unknown         |

  Scenario Outline: Where <declared> is declared and <listed> listed, <known> began all streams
    When <declared> is declared since <since> in era <era>, and <listed> is listed at 100 in era 1
    Then <known> began all streams of the last 24 seconds

    Examples: One version, or several
      | declared | listed  | since | era | known   |
      | v1       | v1      | 0     | 1   | v1      |
      | v1       | v1      | 76    | 1   | v1      |
      | v1       | nothing | 0     | 1   | v1      |
      | v1 v2    | v1      | 0     | 1   | unknown |
      | v1       | v2      | 0     | 1   | unknown |
      | v1       | v1 v2   | 0     | 1   | unknown |

    Examples: Not all streams are covered
      | declared | listed  | since | era | known   |
      | v1       | v1      | 77    | 1   | unknown |
      | v1       | v1      | 0     | 0   | unknown |
      | nothing  | v1      | 0     | 1   | unknown |

  Scenario Outline: Streams begin on <admitted> where <declared> is declared and <ready> is ready
    When <declared> is declared and <ready> is ready
    Then streams may begin on <admitted>

    Examples:
      | declared | ready | admitted |
      | v1 v2    | v1 v2 | all      |
      | v1       | v1 v2 | v1       |
      | v1       | v2 v3 | all      |
      | v1       | v1    | all      |
      | nothing  | v1 v2 | all      |

  Scenario Outline: A version that was listed <ago> s ago is <state>
    When v1 is declared and was listed <ago> s ago beside v2, and streams live for 24 s
    Then v1 is <state>

    Examples: Lists of instances are of different ages
      | ago | state      |
      | 25  | declared   |
      | 47  | declared   |
      | 49  | undeclared |

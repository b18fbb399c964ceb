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

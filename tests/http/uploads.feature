Feature: An upload that a drain waits for is one that becomes complete in time

  Scenario Outline: <received> bytes came in <elapsed> s, <missing> are missing, the last came <silence> s ago
    Guards against waiting for a caller that sends a byte a second, and against refusing one
    that has only begun.

    When <received> bytes of an upload came in <elapsed> s, the last <silence> s ago, and <missing> are missing
    Then it is <verdict> within <seconds> seconds

    Examples:
      | received | elapsed | silence | missing    | seconds | verdict        |
      | 10000    | 1.0     | 0       | 10000      | 1.0     | expected       |
      | 10000    | 1.0     | 0       | 10000      | 0.9     | not expected   |
      | 200      | 0.4     | 0.4     | 100000     | 1.0     | expected       |
      | 200      | 0.5     | 0.4     | 100000     | 1.0     | not expected   |
      | 200      | 0.4     | 0.4     | 100000     | 0       | not expected   |
      | 19990    | 1.5     | 0.9     | 10         | 1.0     | expected       |
      | 19990    | 1.6     | 1.1     | 10         | 1.0     | not expected   |
      | 300      | 1.0     | 0       | an unknown number | 1.0 | expected    |
      | 300      | 1.1     | 0       | an unknown number | 1.0 | not expected |

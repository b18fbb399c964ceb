Feature: What a crash asks of a few instances is granted while the fleet has room

  Guards against sharing out a budget by one instance's own few calls. A crash asked an
  instance for three retries at once; its share was spent, and answers that had begun were
  cut, while all instances together had used a small part of the rule's allowance.

  Scenario: Streams that a crash has cut are sent again where no retries were sent before
    Given 195 instances with 2.5 calls a second
    When a crash cuts streams, while some of 100 calls are sent again
      | again | streams | instances | used |
      | 0     | 1       | 12        | 0.01 |
      | 0     | 3       | 1         | 0.01 |
    Then the fleet has used no more of what the rule allows than that part
    And at most 1 of 100 of these streams are denied a retry

  Scenario: Streams that a crash has cut are sent again while the fleet has room
    Given 195 instances with 2.5 calls a second
    When a crash cuts streams, while some of 100 calls are sent again
      | again | streams | instances | used |
      | 2     | 1       | 12        | 0.1  |
      | 2     | 3       | 1         | 0.1  |
      | 5     | 1       | 12        | 0.25 |
      | 5     | 3       | 1         | 0.25 |
    Then the fleet has used no more of what the rule allows than that part
    And at most 1 of 100 of these streams are denied a retry

  Scenario: Answers that have begun are rarely denied a retry while the fleet has room
    Given 195 instances with 2.5 calls a second
    When a crash cuts answers that have begun, while some of 100 calls are sent again
      | again | streams | instances | used |
      | 2     | 1       | 12        | 0.1  |
      | 2     | 3       | 1         | 0.1  |
      | 5     | 1       | 12        | 0.25 |
      | 5     | 3       | 1         | 0.25 |
    Then the fleet has used no more of what the rule allows than that part
    And at most 2 of 100 of these streams are denied a retry

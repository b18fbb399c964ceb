Feature: Instances that reach the store are up to date, even if their aggregators are not

  The store may reject some instances and serve the others. If it rejects all
  aggregators, each of their subscribers reads the store itself; a call must not reach
  an endpoint later than 2 seconds after its drain was acknowledged.

  Scenario Outline: <count> instances of a zone while the store rejects <rejected>
    Given <count> instances in z1 and one in z2, and plain endpoints in both
    When the store rejects <rejected>, and an endpoint drains <after> seconds later
    Then each other instance knows of it within 2 seconds
    And the store is called at most <calls> times a second

    Examples: Each read of the list and of the operator's table is a call
      | count | rejected        | after | calls |
      | 4     | all aggregators | 2     | 20    |
      | 24    | all aggregators | 2     | 60    |
      | 24    | all aggregators | 3     | 60    |
      | 24    | all aggregators | 4     | 60    |
      | 24    | all instances   | 3     | 60    |

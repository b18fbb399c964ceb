Feature: Instances that reach the store learn in time, also where their aggregators don't

  The store may turn some instances away and serve the others. Where it turns away all
  aggregators, each of their subscribers reads for itself; a call must not reach an
  endpoint later than 2 seconds after its leaving was acknowledged.

  Scenario Outline: <count> instances of a zone while the store turns <away> away
    Given <count> instances in z1 and one in z2, and plain endpoints in both
    When the store turns <away> away, and an endpoint leaves <after> seconds later
    Then each other instance knows of it within 2 seconds
    And the store is called at most <calls> times a second

    Examples: Each read of the list and of the operator's table is a call
      | count | away            | after | calls |
      | 4     | all aggregators | 2     | 20    |
      | 24    | all aggregators | 2     | 60    |
      | 24    | all aggregators | 3     | 60    |
      | 24    | all aggregators | 4     | 60    |
      | 24    | all instances   | 3     | 60    |

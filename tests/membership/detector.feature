Feature: Instances know each other by heartbeats

  Scenario Outline: A killed instance is seen, and proven gone
    Given a deployment of 1 zone with <count> instances and 1 fencing engine
    When one instance is killed
    Then all others see it as GONE within <limit> s

    Examples:
      | count | limit |
      | 2     | 8     |
      | 3     | 8     |
      | 7     | 10    |
      | 20    | 14    |

  Scenario Outline: A paused instance is doubted, never proven gone, and comes back
    Given a deployment of 1 zone with <count> instances and 1 fencing engine
    When one instance is paused
    Then all others see it as DEAD within <limit> s
    When the paused instance goes on
    Then all others see it as ALIVE within 15 s

    Examples:
      | count | limit |
      | 3     | 10    |
      | 7     | 12    |

  Scenario: A leaving instance is passed over within two seconds
    Given a deployment of 1 zone with 7 instances and 1 fencing engine
    When one instance is told to leave
    Then all others see it as LEAVING within 2 s

  Scenario: A restarted process proves that the one before it is gone
    Given a deployment of 1 zone with 3 instances and 1 fencing engine
    When one instance is killed and started again at once
    Then all others know the earlier process as gone within 5 s

  Scenario Outline: The cost of heartbeats does not grow with the instances
    Given a deployment of 1 zone with <count> instances and 0 fencing engines
    When 20 s pass at rest
    Then no instance sent more than <bytes> bytes a second
    And no instance made more than <reads> store reads a second

    Examples:
      | count | bytes | reads |
      | 4     | 120   | 1.1   |
      | 16    | 160   | 1.1   |
      | 48    | 200   | 1.1   |

  Scenario Outline: The store is read by two instances a zone, however many there are
    Given a deployment of 2 zones with <count> instances and 1 fencing engine
    When 20 s pass at rest
    Then the store took at most 4.2 reads a second in all and no write

    Examples:
      | count |
      | 2     |
      | 6     |
      | 20    |

  Scenario Outline: Instances that start at once in a bad network find each other
    Given a network with <lost> lost, 0.1 doubled and 0.2 s of jitter
    When <count> instances start within a second
    Then all instances know each other within 40 s
    When the network is good again
    Then all instances see each other alive within 30 s

    Examples:
      | count | lost |
      | 4     | 0.3  |
      | 12    | 0.3  |
      | 30    | 0.1  |

  Scenario: An instance that missed the news of another asks for all
    Given a deployment of 1 zone with 6 instances and 1 fencing engine
    When one instance forgets another
    Then all instances see each other alive within 30 s

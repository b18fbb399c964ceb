Feature: Instances track each other by heartbeats

  Scenario Outline: A killed instance is detected and proven gone
    Given a deployment of 1 zone with <count> instances and 1 fencing engine
    When one instance is killed
    Then all others see it as GONE within <limit> s

    Examples:
      | count | limit |
      | 2     | 8     |
      | 3     | 8     |
      | 7     | 10    |
      | 20    | 14    |

  Scenario Outline: A paused instance is presumed dead, not proven gone, and returns
    Given a deployment of 1 zone with <count> instances and 1 fencing engine
    When one instance is paused
    Then all others see it as DEAD within <limit> s
    When the paused instance goes on
    Then all others see it as ALIVE within 15 s

    Examples:
      | count | limit |
      | 3     | 10    |
      | 7     | 12    |

  Scenario: A draining instance is known as LEAVING within two seconds
    Given a deployment of 1 zone with 7 instances and 1 fencing engine
    When one instance begins to drain
    Then all others see it as LEAVING within 2 s

  Scenario: A restarted process proves that the earlier one is gone
    Given a deployment of 1 zone with 3 instances and 1 fencing engine
    When one instance is killed and started again at once
    Then all others know the earlier process as gone within 5 s

  Scenario Outline: The cost of heartbeats does not grow with the instances
    Given a deployment of 1 zone with <count> instances and 0 fencing engines
    When 20 s pass without calls
    Then no instance sent more than <bytes> bytes a second
    And no instance made more than <reads> store reads a second

    Examples:
      | count | bytes | reads |
      | 4     | 120   | 1.1   |
      | 16    | 160   | 1.1   |
      | 48    | 200   | 1.1   |

  Scenario Outline: Two instances per zone read the store, however many there are
    Given a deployment of 2 zones with <count> instances and 1 fencing engine
    When 20 s pass without calls
    Then the store took at most 4.2 reads a second in all and no write

    Examples:
      | count |
      | 2     |
      | 6     |
      | 20    |

  Scenario Outline: Instances that start together on an unreliable network join up
    Given a network with <lost> lost, 0.1 doubled and 0.2 s of jitter
    When <count> instances start within a second
    Then all instances know each other within 40 s
    When the network is reliable again
    Then all instances see each other alive within 30 s

    Examples:
      | count | lost |
      | 4     | 0.3  |
      | 12    | 0.3  |
      | 30    | 0.1  |

  Scenario: An instance that missed updates of another requests all members
    Given a deployment of 1 zone with 6 instances and 1 fencing engine
    When one instance loses its record of another
    Then all instances see each other alive within 30 s

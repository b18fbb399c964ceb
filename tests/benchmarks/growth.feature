Feature: Control traffic and store calls grow as the design says

  Scenario Outline: What an instance sends at rest does not grow with the others
    When deployments of <few> and <many> instances are at rest
    Then an instance of the larger one sends at most 1.2 times the bytes
    And the store is read as often in both

    Examples:
      | few | many |
      | 6   | 24   |

  Scenario: A request's control bytes are bounded, and cost no store call
    When 120 requests are sent through 6 instances
    Then a request costs at most 300 bytes between instances and no store call

  Scenario: A pin that is held costs a request nothing
    When 50 requests for one model come at once at one instance
    Then they cost at most 20 messages between instances

  Scenario: A takeover costs no store call and bounded bytes
    When an owner of 6 instances is killed
    Then its takeovers cost no store call and at most 5000 bytes each

  Scenario: A change of an adapter builds no directory and no ring
    When 5 bundles with one more adapter each are rolled
    Then no instance built its directory more than once

  Scenario: A deliberately chatty instance breaks the bound at rest
    When deployments of 6 and 24 instances are at rest with a mesh of heartbeats
    Then an instance of the larger one sends more than 2 times the bytes

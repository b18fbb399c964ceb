Feature: The calls of a plain service are balanced, and excess calls are refused

  74 instances in 3 zones send calls of 69 ms to 4 endpoints with 6 slots and a queue of
  24 each; the zone with most callers has one of the endpoints. An instance has no call
  in progress most of the time.

  Scenario Outline: Goodput at up to 3 times the capacity, <way>
    Given calls to a plain service that are placed by <way>
    When 0.8, 1, 1.2, 1.5, 2 and 3 times the capacity is requested
    Then the calls served in time a second are <held> within 15% of their peak

    Examples:
      | way       | held     |
      | let in    | held     |
      | spread    | not held |
      | own calls | not held |

  Scenario Outline: Calls at <load> of the capacity, <way>
    Given calls to a plain service that are placed by <way>
    When <load> times the capacity is requested
    Then at least <in_time> of the calls are served in time
    And at most <remote> of them go to another zone

    Examples: Below the capacity all are served, and few go to remote zones
      | load | way    | in_time | remote |
      | 0.4  | let in | 0.999   | 0.1    |
      | 0.7  | let in | 0.999   | 0.3    |
      | 0.9  | let in | 0.97    | 0.3    |

  Scenario Outline: Calls of z1 with <busy> in progress and <slots> slots
    Given slots <slots> and calls in progress <busy> by zone
    Then the calls of z1 go to <fractions>

    Examples:
      | slots              | busy               | fractions                |
      | z1 6, z2 6         | z1 3, z2 3         | z1 1.0                   |
      | z1 6, z2 6         | z1 0, z2 9         | z1 1.0                   |
      | z1 6, z2 6         | z1 7.2, z2 0       | z1 0.5, z2 0.5           |
      | z1 6, z2 12, z3 12 | z1 7.2, z2 0, z3 0 | z1 0.5, z2 0.25, z3 0.25 |
      | z2 6               | z1 1, z2 1         | z1 0.0, z2 1.0           |
      | z1 6, z2 6         | z1 12, z2 12       | z1 1.0                   |
      | z1 6, z2 6         | z1 18, z2 6        | z1 0.67, z2 0.33         |

  Scenario Outline: Calls of z1 with <busy> in progress, <far> in other regions
    Given slots <slots> and calls in progress <busy> by zone
    Then the calls of z1 go to <fractions> where <far> are in other regions

    Examples: The zones of its own region are filled before others
      | slots            | busy                | far       | fractions                |
      | z1 6, z2 6, z3 6 | z1 7.2, z2 0, z3 0  | z3        | z1 0.5, z2 0.5, z3 0.0   |
      | z1 6, z2 6, z3 6 | z1 9, z2 1.8, z3 0  | z3        | z1 0.4, z2 0.2, z3 0.4   |
      | z1 6, z2 6, z3 6 | z1 7.2, z2 6, z3 0  | z3        | z1 0.61, z3 0.39         |
      | z1 6, z2 6, z3 6 | z1 7.2, z2 0, z3 0  | z2 and z3 | z1 0.5, z2 0.25, z3 0.25 |
      | z1 6, z2 6, z3 6 | z1 7.2, z2 0, z3 12 | z3        | z1 0.89, z2 0.11         |

  Scenario: Under any load all calls of a zone are placed, and no zone is overfilled
    Then for 500 random loads of 1 to 5 zones the fractions sum to 1, and fill no zone beyond the mean

  Scenario Outline: A refused caller comes back when there may be free capacity
    Given <busy> calls in progress at 4 slots, of which 50 a second are served
    When 200 calls a second come
    Then <refused> of them are refused, to come back in <minimum> to <maximum> seconds

    Examples:
      | busy | refused | minimum | maximum |
      | 3    | none    | 0       | 0       |
      | 8    | none    | 0       | 0       |
      | 14   | most    | 0.2     | 0.4     |
      | 40   | all     | 0.72    | 1.44    |

Feature: The policy's decisions, and bounds on what they cost

  Scenario Outline: The default policy performs better than the baselines
    When <scenario> runs for 120 s at <deployment> with every policy
    Then the default's interactive p99 stall is at most <p99> s
    And its total interactive stall is at most <ratio> times the lower bound
    And its interactive p99 stall is shorter than with both baselines
    And its batch efficiency is at most 2 points below either baseline

    Examples:
      | scenario        | deployment  | p99 | ratio |
      | steady          | association | 1.7 | 2.1   |
      | steady          | rullivaht   | 3.6 | 2.6   |
      | shift           | association | 1.8 | 2.2   |
      | flood           | association | 1.6 | 2.2   |
      | restarts        | association | 2.2 | 2.6   |

  Scenario Outline: A deliberately worse policy exceeds the bounds
    When steady runs for 120 s at association with the <worse> policy
    Then its interactive p99 stall is above 1.7 s

    Examples:
      | worse            |
      | least_loaded_lru |
      | consistent_hash  |

  Scenario: Repeated runs give byte-identical results
    When steady runs for 60 s at rullivaht with every policy, twice
    Then the results of both runs are byte-identical

  Scenario Outline: Overload is refused early with a time to retry after
    Given an endpoint record with 1 slot, a batch of 4 and loads of 1 s
    When <count> <priority> requests for different models arrive
    Then the first <queued> are queued and the others refused as full at once
    And each refusal has a time to retry after

    Examples:
      | count | priority    | queued |
      | 10    | interactive | 3      |
      | 10    | standard    | 5      |

  Scenario Outline: A full endpoint refuses requests by priority class
    Given an endpoint record with <running> running requests in a batch of 8
    When a <priority> request for the loaded model arrives
    Then it is <answer>

    Examples:
      | running | priority    | answer  |
      | 5       | batch       | granted |
      | 7       | batch       | full    |
      | 7       | interactive | granted |
      | 9       | interactive | busy    |
      | 12      | standard    | full    |
      | 16      | interactive | full    |

  Scenario Outline: The router uses a pin with capacity, or spills along the ring
    Given a ring of 9 endpoints
    When a model is pinned at its first <pinned> endpoints with fills of <fills>
    Then the plan is <plan>

    Examples:
      | pinned | fills   | plan                        |
      | 0      | -       | to request at 3 endpoints   |
      | 1      | 0.5     | to use the 1st              |
      | 1      | 1.2     | to request at 3 endpoints   |
      | 2      | 1.2 0.3 | to use the 2nd              |
      | 2      | 0.4 0.3 | to use the 2nd              |

  Scenario Outline: A pin that served a single request is released at once
    When <requests> requests run under a pin, one after the other
    Then the pin is <kept> when the last one ends

    Examples:
      | requests | kept     |
      | 1        | released |
      | 2        | kept     |
      | 5        | kept     |

  Scenario: Placement moves few models when an endpoint is removed
    When one of 9 endpoints is removed from the ring
    Then at most 20% of 2000 models have another first endpoint
    And no endpoint is the first of more than twice its share of models

  Scenario Outline: The least valuable copy is evicted, but never a pinned one
    Given a full record with copies used <uses> times, of which <pinned> run
    When another model is requested
    Then copy <victim> is evicted

    Examples:
      | uses    | pinned | victim |
      | 5 1 3 9 | none   | 1      |
      | 5 1 3 9 | 1      | 2      |
      | 2 2 2 1 | 3      | 0      |

  Scenario Outline: Loads are delayed by class while the store is congested
    Given loads that took <seconds> s each after one of 1 s
    When a <priority> load is due that has waited <waited> s
    Then it <may> start

    Examples:
      | seconds | priority    | waited | may     |
      | 1       | batch       | 31     | may     |
      | 3       | interactive | 0      | may     |
      | 3       | standard    | 0      | may not |
      | 3       | standard    | 2      | may     |
      | 3       | batch       | 31     | may not |
      | 3       | batch       | 61     | may     |

  Scenario Outline: Batch requests for a model are delayed and share one load
    Given a record of a <kind> endpoint with 4 slots and one batch request
    Then no load is ordered for <delay> s
    When another batch request for the model arrives and 2 s pass
    Then one load is ordered, and both are granted when it is done

    Examples:
      | kind  | delay |
      | busy  | 29    |
      | idle  | 1     |

  Scenario Outline: The cost of a decision does not grow with the endpoints
    When a decision is made 2000 times at <endpoints> endpoints
    Then it took at most <steps> hashes and reads of the ring

    Examples:
      | endpoints | steps |
      | 9         | 40    |
      | 667       | 60    |

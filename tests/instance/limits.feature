Feature: An endpoint gets no more calls than its announced rate limit allows

  Guards against limits that are ignored: the header was forwarded to callers and read by
  no instance, and two engines that announced limits of 7.6 and 4.3 calls a second got 85
  calls in the next four seconds where 51 are allowed. Limiting each instance separately
  does not help: seven instances could then send seven times 7.6 calls a second, more than
  there ever were.

  Scenario Outline: A limit of <limit> at <endpoint> is respected by <instances> instances
    Given <instances> instances, 4 engines and 3 plain endpoints that may announce limits
    And callers of 6 adapters, <rate> calls a second, and as many plain ones
    When a limit of <limit> is announced by <endpoint> for 12 seconds
    Then no endpoint gets more than its limit allows

    Examples:
      | endpoint          | limit | instances | rate |
      | an engine         | 4.3   | 6         | 40   |
      | an engine         | 0.5   | 6         | 40   |
      | a plain endpoint  | 4     | 6         | 40   |
      | a plain endpoint  | 2     | 40        | 60   |
      | all engines       | 4     | 40        | 60   |

  Scenario Outline: A limit of all engines is respected and used where <trouble>
    Given 6 instances, 4 engines and 3 plain endpoints that may announce limits
    And callers of 6 adapters, 40 calls a second, and as many plain ones
    When a limit of 6 is announced by all engines for 15 seconds while <trouble>
    Then no endpoint gets more than its limit allows
    And <used> in 100 of what its limit allows is run

    Examples:
      | trouble                                    | used |
      | nothing happens                            | 80   |
      | zones can't reach each other               | 30   |
      | no instance can reach another              | 0    |
      | the store does not answer                  | 30   |
      | the owner of z1 is killed                  | 40   |
      | all instances are killed and restart       | 20   |
      | the owner of z1 is suspended for 9 seconds | 20   |
      | others are suspended in turn               | 50   |
      | it falls to a quarter                      | 80   |
      | it rises to twice as much                  | 50   |
      | it comes and goes                          | 50   |

  Scenario: A limit is also used where each call needs a load of its adapter
    Guards against counting orders to an engine as calls. Loads of adapters then used up the
    limit, and with many requested adapters 0 instead of 35 of 60 calls a second were served.

    Given 6 instances, 4 engines and 3 plain endpoints that may announce limits
    And callers of 300 adapters, 40 calls a second, and as many plain ones
    When a limit of 6 is announced by all engines for 12 seconds
    Then no endpoint gets more than its limit allows
    And 80 in 100 of what its limit allows is run

  Scenario Outline: Calls beyond a limit go elsewhere, or are refused at once
    Given 6 instances, 4 engines and 3 plain endpoints that may announce limits
    And callers of 6 adapters, 40 calls a second, and as many plain ones
    When a limit of 4 is announced by <endpoint> for 10 seconds
    Then no endpoint gets more than its limit allows
    And <streams> in 100 of the streams are served
    And <plain> in 100 of the plain calls are served

    Examples: Other endpoints have capacity, or none has
      | endpoint            | streams | plain |
      | an engine           | 97      | 97    |
      | a plain endpoint    | 97      | 97    |
      | all engines         | 25      | 97    |
      | all plain endpoints | 97      | 20    |

  Scenario: A call beyond all limits is refused at once
    Given 6 instances, 4 engines and 3 plain endpoints that may announce limits
    And callers of 6 adapters, 40 calls a second, and as many plain ones
    When a limit of 1 is announced by all plain endpoints for 4 seconds
    Then plain calls are refused within 0.3 seconds, with a time to retry

  Scenario Outline: An endpoint is used again soon after its limit ended
    Given 6 instances, 4 engines and 3 plain endpoints that may announce limits
    And callers of 6 adapters, 40 calls a second, and as many plain ones
    When a limit of 1 is announced by <endpoint> for 6 seconds
    And the limit ends
    Then 1 second later they get <least> calls a second again

    Examples: Of 40 calls a second, four fifths; a single endpoint has a third
      | endpoint            | least |
      | all engines         | 32    |
      | all plain endpoints | 32    |
      | a plain endpoint    | 7     |

  Scenario: An endpoint that restarts has announced nothing
    Given 6 instances, 4 engines and 3 plain endpoints that may announce limits
    And callers of 6 adapters, 40 calls a second, and as many plain ones
    When a limit of 1 is announced by all plain endpoints for 9 seconds while it restarts
    Then 1 second later they get 32 calls a second again

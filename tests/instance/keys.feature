Feature: Callers are known by their keys, and revoked keys run nowhere

  The operator's configuration lists organisations and their keys. A key is not forwarded
  by the instance that reads it; endpoints receive only the organisation's name.

  Scenario Outline: <call> with <what>
    Given an installation whose callers have keys, with instances a, b, c
    When <call> with <what> arrives at a
    Then it is answered <status>
    And the endpoint receives <received>
    And no message between instances holds a key

    Examples:
      | call         | what                             | status | received                    |
      | a call       | the key of red                   | 200    | red                         |
      | a call       | the second key of red            | 200    | red                         |
      | a call       | the key of blue                  | 200    | blue                        |
      | a call       | an unknown key                   | 401    | nothing, as it runs nowhere |
      | a call       | no key                           | 401    | nothing, as it runs nowhere |
      | a call       | two keys                         | 401    | nothing, as it runs nowhere |
      | a call       | the key of red in another scheme | 401    | nothing, as it runs nowhere |
      | a call       | the key of red and the name blue | 200    | red                         |
      | a call       | the key of red and a connection that hides it | 200 | red              |
      | a call       | no key and the name blue         | 401    | nothing, as it runs nowhere |
      | an open call | the key of red                   | 200    | red                         |
      | an open call | an unknown key                   | 200    | no organisation             |
      | an open call | no key                           | 200    | no organisation             |
      | an open call | no key and the name blue         | 200    | no organisation             |

  Scenario Outline: A key is found among <count> keys
    Given a table of <count> keys of <organisations> organisations
    Then the key o1-1 is that of o1
    And the key o1-x is that of no organisation

    Examples:
      | count | organisations |
      | 4     | 2             |
      | 50000 | 500           |

  Scenario Outline: Keys are revoked while <hazard>
    Given an installation whose callers have keys, with instances a, b, c
    When keys are revoked while <hazard>
    Then no call with a revoked key runs that arrives 5 seconds later or more
    And calls with other keys are served <how>

    Examples:
      | hazard                                                  | how                             |
      | nothing else happens                                    | all the time                    |
      | the store is cut off from all                           | no more, but refused as not run |
      | the store is cut off from the owner of z1               | or refused as not run           |
      | the store is cut off from one that owns nothing         | all the time                    |
      | all instances are cut off from each other and the store | no more, but refused as not run |
      | z1 is cut off from z2 and the store                     | or refused as not run           |
      | all instances restart                                   | all the time                    |
      | all instances restart, cut off from the store           | no more, but refused as not run |
      | polls of the store get no answer                        | all the time                    |
      | the owner of z1 is suspended                            | or refused as not run           |
      | one that owns nothing is suspended                      | or refused as not run           |
      | the store is restored from before, and lacks it a while | or refused as not run           |
      | the store was restored to an older state just before    | or refused as not run           |

  Scenario: A key that is revoked while its call waits
    Given an installation whose callers have keys, with instances a, b, c
    When the key of red is revoked while its call waits for an adapter at a
    Then it is answered 401
    And the endpoint receives nothing, as it runs nowhere

Feature: Callers are known by their keys, and revoked keys run nowhere

  The operator's configuration names organisations and their keys. The key goes no further
  than the instance that reads it; endpoints are told the organisation's name alone.

  Scenario Outline: <call> with <what>
    Given an installation whose callers have keys, with instances a, b, c
    When <call> with <what> comes to a
    Then it is answered <status>
    And the runner is told <told>
    And no message between instances holds a key

    Examples:
      | call         | what                             | status | told                        |
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

  Scenario Outline: A key is found among <count> as among few
    Given a table of <count> keys of <organisations> organisations
    Then the key o1-1 is that of o1
    And the key o1-x is that of nobody

    Examples:
      | count | organisations |
      | 4     | 2             |
      | 50000 | 500           |

  Scenario Outline: Keys are revoked while <hazard>
    Given an installation whose callers have keys, with instances a, b, c
    When keys are revoked while <hazard>
    Then no call with a revoked key runs that comes 5 seconds later or more
    And calls with other keys are served <how>

    Examples:
      | hazard                                                  | how                             |
      | nothing else happens                                    | all the time                    |
      | the store is cut off from all                           | no more, but refused as not run |
      | the store is cut off from the owner of z1               | or refused as not run           |
      | the store is cut off from one that owns nothing         | all the time                    |
      | all instances hear nothing from each other or the store | no more, but refused as not run |
      | z1 hears nothing from z2 or the store                   | or refused as not run           |
      | all instances start again                               | all the time                    |
      | all instances start again behind a cut                  | no more, but refused as not run |
      | polls of the store get no answer                        | all the time                    |
      | the owner of z1 is suspended                            | or refused as not run           |
      | one that owns nothing is suspended                      | or refused as not run           |
      | the store comes back older and lacks it for a while     | or refused as not run           |
      | the store has come back older just before               | or refused as not run           |

  Scenario: A key that is revoked while its call waits
    Given an installation whose callers have keys, with instances a, b, c
    When the key of red is revoked while its call waits for an adapter at a
    Then it is answered 401
    And the runner is told nothing, as it runs nowhere

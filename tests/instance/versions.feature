Feature: A stream goes on only at the software version that began it

  Guards against events of two software versions in one stream: what two versions write does
  not fit together, and endpoints don't check it. A stream goes on all the same wherever an
  endpoint of its version serves.

  Scenario Outline: In one answer where <trouble>, and <ready>
    Given 2 instances, and engines of the versions v1, v1, v1.2, v1.2
    When 60 streams begin where <trouble>, and <ready>
    Then no stream holds events of two versions, none twice, and none is missing
    And 95 in 100 of the streams went on to their end

    Examples:
      | trouble                       | ready                                 |
      | engines break streams off     | every engine holds the adapter        |
      | engines break streams off     | engines of v1.2 alone hold it at first |
      | engines pause within streams  | every engine holds the adapter        |
      | engines end                   | every engine holds the adapter        |
      | engines break streams off     | the service runs no models            |

  Scenario Outline: Over a caller's tries, taken up at <instance>
    Given 4 instances, and engines of the versions v1, v1, v1.2, v1.2
    When 40 streams are left by their callers and taken up at <instance>
    Then no stream holds events of two versions, none twice, and none is missing
    And <least> in 100 of the streams went on to their end

    Examples:
      | instance                                       | least |
      | the same instance                              | 95    |
      | another instance of the zone                   | 95    |
      | an instance of another zone                    | 95    |
      | an instance that has just started              | 95    |
      | another one, as the one that began has ended   | 95    |
      | another one, as the owner of its zone has ended | 95   |
      | another one, as all others have ended          | 0     |
      | an instance that reaches no engine             | 95    |
      | another one than the one that took it over     | 95    |

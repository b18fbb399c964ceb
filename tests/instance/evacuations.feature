Feature: A zone that the operator takes out of service gets nothing

  Guards against rows of the operator that no instance reads: calls reached the endpoints of
  an evacuated zone until the row was deleted, 2,871 of them later than five seconds after it.

  Scenario Outline: <instances> instances leave a zone under load while <trouble>
    Given <instances> instances, 4 engines and 4 plain endpoints that may announce limits
    And callers of 8 adapters, 40 calls a second, and as many plain ones
    When the zone z1 is evacuated for 9 seconds, and 1 second later <trouble>
    Then no call and no order reached the zone late
    And <served> in 100 of the streams are served
    And <served> in 100 of the plain calls are served

    Examples: Calls that a killed instance held are lost with it
      | instances | trouble                                    | served |
      | 6         | nothing happens                            | 99     |
      | 12        | nothing happens                            | 99     |
      | 6         | the store does not answer                  | 99     |
      | 12        | the store does not answer                  | 99     |
      | 6         | the owner of z1 is killed                  | 98     |
      | 12        | the owner of z1 is killed                  | 98     |
      | 6         | others are suspended in turn               | 97     |
      | 6         | the owner of z1 is suspended for 9 seconds | 97     |
      | 6         | zones can't reach each other               | 97     |
      | 6         | no instance can reach another              | 97     |
      | 6         | all instances are killed and restart       | 95     |

  Scenario: Calls for adapters that only the zone held don't wait for their loads
    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    And callers of 8 adapters, 40 calls a second, and as many plain ones
    When the zone z1 is evacuated for 5 seconds
    Then no more than 3 streams waited for an adapter

  Scenario: A zone that is taken back is used again
    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    And callers of 8 adapters, 40 calls a second, and as many plain ones
    When the zone z1 is evacuated for 5 seconds
    And the zone z1 is taken back
    Then each of its endpoints gets calls within 4 seconds
    And 99 in 100 of the streams are served

  Scenario: Calls are refused at once where all zones are evacuated
    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    And callers of 8 adapters, 40 calls a second, and as many plain ones
    When the zone z1 is evacuated for 0 seconds
    And the zone z2 is evacuated for 3 seconds
    Then no call and no order reached the zone late
    And calls of both kinds are refused within 0.1 seconds as zones_evacuated

  Scenario Outline: A row <row> changes nothing but the log
    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    And callers of 8 adapters, 40 calls a second, and as many plain ones
    When the operator writes the row <row>
    Then 99 in 100 of the streams are served
    And 99 in 100 of the plain calls are served
    And all instances know 2 open zones

    Examples: Without a zone, or with one that nobody has
      | row         |
      | evacuate/   |
      | evacuate/z9 |
      | evacuated   |

  Scenario Outline: An evacuation <change> while the store <trouble>
    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    When the zone z1 is evacuated for 3 seconds
    And the store <trouble>, and the row is <change> meanwhile
    Then <seconds> seconds later all instances know <open> open zones

    Examples: What an older copy lacks is in force until it would be written again
      | trouble                       | change            | seconds | open |
      | loses its history             | deleted           | 3       | 2    |
      | loses its history             | kept              | 3       | 1    |
      | comes back from 2 s before it | not written again | 1.5     | 1    |
      | comes back from 2 s before it | not written again | 6       | 2    |
      | comes back from 2 s before it | written again     | 6       | 1    |

  Scenario: A process that starts later knows of the evacuation
    Given 6 instances, 4 engines and 4 plain endpoints that may announce limits
    When the zone z1 is evacuated for 1 seconds
    And all instances are killed and restart
    Then 2 seconds later all instances know 1 open zones

Feature: Bundles are checked, rolled once, spread and never reverted

  Scenario Outline: A mistake in a bundle is named with its path
    When a bundle with <mistake> is checked
    Then the mistakes name "<path>"

    Examples:
      | mistake                        | path                                  |
      | no object                      | $: an object was expected             |
      | an unknown section             | $.adaptors: no such section           |
      | an adapter without versions    | $.adapters.a.versions: missing        |
      | an adapter of no service       | $.adapters.a.services: no service     |
      | a version that is a number     | $.adapters.a.versions.1: str was      |
      | a service of no class          | $.services.s.priority: one of         |
      | an endpoint without address    | $.endpoints.e.address: missing        |
      | a field that is unknown        | $.services.s.colour: no such field    |
      | slots that are text            | $.endpoints.e.slots: int was expected |

  Scenario Outline: A fault at any call of a roll loses and doubles nothing
    Given a bundle that was proposed and signed
    When it is rolled with call <call> of the store <fault>, and rolled again
    Then the head is that bundle with number 1

    Examples:
      | call | fault |
      | 1    | down  |
      | 2    | down  |
      | 3    | down  |
      | 4    | down  |
      | 5    | down  |
      | 6    | down  |
      | 6    | lost  |
      | 7    | down  |

  Scenario: Of two operators that roll at once one gets a conflict
    Given two bundles that were proposed and signed against the same head
    When both are rolled
    Then one is the head and the other got bundle_conflict

  Scenario Outline: A bundle that may not be rolled is refused with a code
    Given a bundle that was proposed
    When it is <action>
    Then it is refused as <code>

    Examples:
      | action                        | code              |
      | rolled without a signature    | bundle_not_signed |
      | signed by its proposer        | bundle_not_signed |
      | proposed again without change | invalid_bundle    |
      | rolled under an unknown name  | invalid_bundle    |

  Scenario: Undo is rolling forward to earlier content
    Given a store with 3 bundles rolled
    When the content of bundle 2 is rolled again
    Then the head is number 4 with the content of bundle 2

  Scenario: A bundle far behind is reached from a whole one and few changes
    Given a store with 70 bundles rolled
    Then loading the head takes at most 10 reads
    And the head is number 70

  Scenario Outline: An accepted bundle is in force everywhere within seconds
    Given a network with <lost> lost, <doubled> doubled and <jitter> s of jitter
    And a deployment of 3 zones with <count> instances and 1 fencing engine
    When 5 bundles are rolled one after the other
    Then each was in force at every instance within <limit> s
    And no instance went back to a lower number

    Examples:
      | count | lost | doubled | jitter | limit |
      | 2     | 0.0  | 0.0     | 0.0    | 3     |
      | 10    | 0.0  | 0.0     | 0.0    | 3     |
      | 2     | 0.1  | 0.3     | 0.3    | 8     |

  Scenario: A zone cut from the platform hears of a bundle from its neighbours
    Given a deployment of 3 zones with 2 instances and 1 fencing engine
    When zone-b is cut from the platform and 2 bundles are rolled one after the other
    Then each was in force at every instance within 5 s

  Scenario: A zone cut off from all keeps its bundle and catches up
    Given a deployment of 3 zones with 2 instances and 1 fencing engine
    When zone-b is cut off, 2 bundles are rolled, and it is joined again
    Then every instance is at the head within 15 s
    And no instance went back to a lower number

  Scenario: An instance that starts in an outage takes its peers' newest bundle
    Given a deployment of 1 zone with 2 instances and 1 fencing engine
    When the platform goes down and an instance starts
    Then the new instance has the newest bundle within 5 s
    And it answers a call

  Scenario: A change of one adapter among 53,000 costs few bytes a peer
    Given a bundle of 53000 adapters
    When one adapter gets a version
    Then the change takes at most 300 bytes
    And applying it leaves every other entry as it was

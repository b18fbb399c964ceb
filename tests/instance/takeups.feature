Feature: A stream that is taken up goes on at its version, or is refused at once

  Guards against a guess where nobody knows which version began a stream, against callers
  that are told to return though nothing can change, and against a retry that goes to
  another service than the stream.

  Scenario Outline: Where <what>, it <result>
    Given endpoints of the versions <versions>, known for <seconds> seconds
    When a stream is taken up where <what>
    Then it <result>

    Examples: Two of the version serve, or one does, or none
      | what                                         | versions           | seconds | result              |
      | nothing else happens                         | v1, v1, v1.2, v1.2 | 5       | goes on             |
      | its engine has left                          | v1, v1, v1.2, v1.2 | 5       | goes on             |
      | all engines of its version have left         | v1, v1, v1.2, v1.2 | 5       | is refused for good |
      | all of them leave within one answer          | v1, v1, v1.2, v1.2 | 5       | is cut at once      |

    Examples: Without the store
      | what                                         | versions           | seconds | result              |
      | the store has been away for long             | v1, v1, v1.2, v1.2 | 5       | goes on             |

    Examples: Its service is known with the version
      | what                                         | versions           | seconds | result              |
      | its route is split over two services         | v1, v1.2           | 5       | goes on             |
      | its route has moved to another service       | v1, v1.2           | 5       | is refused for good |

    Examples: Nobody remembers it
      | what                                         | versions           | seconds | result              |
      | nobody remembers it                          | v1, v1.2           | 30      | is refused for good |
      | nobody remembers it                          | v1, v1             | 5       | goes on             |
      | all instances started again long ago         | v1, v1             | 5       | goes on             |
      | nobody remembers it                          | v1, v1             | 30      | goes on             |
      | nobody remembers it                          | none, none         | 30      | goes on             |
      | nobody remembers it and the list is old      | v1, v1             | 30      | is refused for good |
      | nobody remembers it at an instance just started | v1, v1          | 30      | goes on             |
      | a version has left, and nobody remembers it  | v1, v1.2           | 30      | is refused for good |
      | its caller does not name it                  | v1, v1.2           | 30      | is refused for good |
      | its caller does not name it                  | v1, v1             | 30      | goes on             |

    Examples: All instances were killed at once, and know nothing
      | what                                                              | versions           | seconds | result              |
      | all instances have just started again                             | v1, v1             | 5       | goes on             |
      | all instances have just started again                             | v1, v1, v1.2, v1.2 | 5       | goes on             |
      | all instances have started again, and own zones                   | v1, v1, v1.2, v1.2 | 5       | goes on             |
      | all instances start again behind its version's first streams      | v1, v1             | 5       | goes on             |
      | all instances start again behind a version that came after it     | v1, v1             | 5       | goes on             |
      | all instances have just started again without the other version   | v1, v1.2           | 5       | goes on             |
      | all instances have just started again without its version         | v1, v1.2           | 5       | is refused for good |
      | all instances have started again without its version, 15 s ago    | v1, v1.2           | 5       | is refused for good |
      | all instances have just started again, and the store is older     | v1, v1             | 5       | is refused for good |
      | all instances have just started again, and the store is older     | v1, v1.2           | 5       | is refused for good |
      | all instances have just started again, and the store lost its row | v1, v1             | 5       | is refused for good |
      | all instances have just started again, as the row was written anew | v1, v1            | 5       | is refused for good |
      | all instances have just started again, and nobody began it        | v1, v1.2           | 5       | is refused for good |

  Scenario: Streams begin while an instance comes to own all zones
    Guards against a stream that failed within 0.1 seconds of its instance's last lease.

    Given endpoints of the versions v1, v1, known for 5 seconds
    When the only other owner ends, and streams begin at the last instance all the while
    Then all of them are whole

  Scenario: Malformed messages on streams are ignored
    Given endpoints of the versions v1, v1.2, known for 5 seconds
    When malformed messages on streams arrive
    And a stream is taken up where nothing else happens
    Then it goes on

  Scenario: Streams of a busy service without models go on at the few endpoints of their version
    Guards against a version's endpoints that count as full by the calls of all versions.

    Given endpoints of the versions v1, v1, v1.2, v1.2, v1.2, v1.2, known for 5 seconds
    When 32 of its 48 slots are taken by streams, and those of v1 are taken up elsewhere
    Then all of them are whole

  Scenario: Answers of a busy service without models continue at the last endpoint of their version
    Given endpoints of the versions v1, v1, v1.2, v1.2, v1.2, v1.2, known for 5 seconds
    When 32 of its 48 slots are taken by streams, and an endpoint of v1 ends
    Then all of them are whole

  Scenario: An instance that was suspended infers nothing from its list of before
    Guards against a version that is guessed until the age of the list is next checked.

    Given endpoints of the versions v1, v1, known for 30 seconds
    When instance c is suspended for 20 seconds
    Then c does not know the only version of a service

Feature: Clients that don't behave do not end a process of the system

  Each scenario starts the system's own processes on loopback. The machine of the instance
  has 200 MB, and its resource limits say so. The crowd stays open while an ordinary caller
  asks beside it. What is held is measured from outside: the most resident memory of the
  process, and what the kernel holds for it in the queues of its connections.

  Scenario Outline: <count> clients send <what> to <where> of the interface <interface>
    Given an instance of <interface> on a machine of 200 MB and 6000 descriptors
    When <count> clients send <what> to <where> and stay
    Then an ordinary caller is served
    When the crowd leaves
    Then an ordinary caller is served
    And the process lives and has held less than 200 MB

    Examples: Bodies that stop just short of their end
      | interface | where             | count | what                                            |
      | routes    | the front         | 150   | 4 MB in chunks of 65536 bytes                   |
      | routes    | the front         | 150   | 4 MB in chunks of 1024 bytes                    |
      | routes    | the front         | 24    | 1 MB in chunks of 2 bytes                       |
      | routes    | the front         | 60    | 1 MB in chunks of 1 byte                        |
      | routes    | the front         | 150   | 4 MB with a length, short of 1 byte             |
      | routes    | the readiness     | 150   | 4 MB with a length, short of 1 byte             |
      | routes    | the readiness     | 24    | 1 MB in chunks of 2 bytes                       |
      | routes    | the metrics       | 150   | 4 MB with a length, short of 1 byte             |
      | openai    | the front         | 90    | 8 MB in chunks of 65536 bytes                   |
      | openai    | the front         | 24    | 1 MB in chunks of 2 bytes                       |
      | openai    | the front         | 90    | 8 MB with a length, short of 1 byte             |

    Examples: Trailers and heads that do not end
      | interface | where             | count | what                                            |
      | routes    | the front         | 120   | a trailer whose name has 6 MB                   |
      | routes    | the front         | 120   | a trailer whose value has 6 MB                  |
      | openai    | the front         | 120   | a trailer whose name has 6 MB                   |
      | routes    | the front         | 3000  | a head of 16000 bytes in very short fields      |

    Examples: Whole bodies of legal size
      | interface | where             | count | what                                            |
      | routes    | the front         | 120   | whole bodies of 4 MB                            |
      | routes    | the front         | 120   | whole bodies of 4 MB, for a runner with 6 places |
      | routes    | the front         | 150   | whole bodies of 4 MB, for no route              |
      | openai    | the front         | 90    | whole bodies of 8 MB, for a service             |

    Examples: Bodies that take much more once they are read
      | interface | where             | count | what                                            |
      | openai    | the front         | 12    | 8 MB of empty lists                             |
      | routes    | the front         | 1500  | calls at work whose prompts have 4000 parts     |

    Examples: Requests in a row, and answers that nobody reads
      | interface | where             | count | what                                            |
      | routes    | the front         | 500   | 4000 small requests in a row                    |
      | routes    | the front         | 4000  | a call at work, and 131072 bytes behind it      |
      | routes    | the front         | 2500  | calls for answers of 3 MB that are not read     |

  Scenario Outline: <waves> waves of <count> clients send <what> to the interface <interface>
    Guards against memory that was held for connections and comes back only when the
    collector of cycles gets to it.

    Given an instance of <interface> on a machine of 200 MB and 6000 descriptors
    When <waves> waves of <count> clients send <what>, one after the other
    Then an ordinary caller is served
    And the process lives and has held less than 200 MB

    Examples:
      | interface | waves | count | what                                |
      | routes    | 16    | 15    | 4 MB with a length, short of 1 byte |
      | routes    | 8     | 5     | 1 MB in chunks of 2 bytes           |
      | openai    | 16    | 10    | 8 MB with a length, short of 1 byte |
      | routes    | 16    | 15    | whole bodies of 4 MB                |

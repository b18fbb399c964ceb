Feature: A single request inside the limits is served in calm

  Guards against limits on what is held that a client meets which keeps to the pages' limits.
  The machine is the smallest one, and the runner tells what it received.

  Scenario Outline: One client sends <what>
    Given an instance of routes on a machine of 200 MB and 4100 descriptors
    When a single client sends <what>
    Then it is served, and the runner has received its body

    Examples:
      | what                                                             |
      | 4 MB with a length                                               |
      | 4 MB with a length, piece by piece over 12 seconds               |
      | 4 MB in chunks of 1 byte, and a trailer                          |
      | 1 MB in chunks of 2 bytes, piece by piece over 12 seconds        |
      | 4 MB in chunks of 65536 bytes, behind a head of 15000 bytes      |

  Scenario: Nothing that was refused is run
    Given an instance of routes on a machine of 200 MB and 4100 descriptors
    When 120 clients send whole bodies of 4 MB, for a runner with 6 places to the front and stay
    Then some clients were told that they were not run
    When the crowd leaves
    Then an ordinary caller is served
    And none of those that were told so has run

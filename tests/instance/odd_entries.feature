Feature: An odd row of another writer stops nobody from following its table

  Guards against an entry that ends the instances that read it, or cuts others off from the
  changes after it: the instance that relays the list could not encode what it had taken.

  Scenario Outline: Changes after an odd <what> are followed, <when>
    Given an odd <what> written <when> of 4 instances in 2 zones
    When another runner is added
    Then all instances know that runner and the engine within 3 seconds
    And each of them serves a call

    Examples: Entries of runners
      | what                             | when             |
      | entry nested 60000 deep          | before the start |
      | entry nested 60000 deep          | after the start  |
      | entry with a map nested so       | after the start  |
      | entry with 6000 digits           | before the start |
      | entry with 6000 digits           | after the start  |
      | entry with 1e999 slots           | after the start  |
      | entry with port 99999            | before the start |
      | entry with port 99999            | after the start  |
      | entry with port 65536            | after the start  |
      | entry with port 0                | after the start  |
      | entry with port -1               | after the start  |
      | entry with port 8_0              | after the start  |
      | entry with port +80              | after the start  |
      | entry with a host and more       | after the start  |
      | entry with an octal host         | after the start  |
      | entry with a surrogate as zone   | before the start |
      | entry with a surrogate as zone   | after the start  |
      | entry with a surrogate as service | after the start |
      | entry with a surrogate as version | after the start |
      | entry under a surrogate          | before the start |
      | entry under a surrogate          | after the start  |
      | entry that is a list             | after the start  |
      | entry of no document             | after the start  |

    Examples: Rows of other tables
      | what                             | when             |
      | version nested 60000 deep        | before the start |
      | version nested 60000 deep        | after the start  |
      | version of a surrogate           | before the start |
      | version of a surrogate           | after the start  |
      | version with 6000 digits         | after the start  |
      | evacuation under a surrogate     | before the start |
      | evacuation under a surrogate     | after the start  |
      | row of the operator under a surrogate | after the start |
      | lease of other bytes             | before the start |
      | lease under a surrogate          | after the start  |
      | row of work of other bytes       | before the start |
      | row of work of other bytes       | after the start  |
      | row of work under a surrogate    | after the start  |
      | row of services of other bytes   | before the start |
      | row of services under a surrogate | after the start |
      | row of streams of other bytes    | before the start |
      | row of streams of other bytes    | after the start  |

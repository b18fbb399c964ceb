Feature: A load report that was broken off is none

  Guards against taking an engine for one that has restarted, because its report had neither a
  length nor chunks and ended within the number that tells its starts apart.

  Scenario: No beginning of a report tells of another start of the engine
    Given the load report of an engine
    Then each beginning of it is refused, or tells of the same start

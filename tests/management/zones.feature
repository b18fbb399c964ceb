Feature: Operators see which zones are out of service

  Scenario: An evacuated zone is shown until its row is deleted
    Given a platform of the interface routes with a row of refused work
    When the zone z1 is evacuated there
    Then the tool shows "z1" as "evacuated"
    When the zone z1 is taken back there
    Then the tool shows nothing as "evacuated"

Feature: Many calls that end engines at once leave others their adapters

  A load that was on its way at an engine when it ended is a suspect too. Where twenty
  calls end engines one after the other, adapters that others use are on their way at three
  of these ends before long, and are not loaded again for a minute: "ends_endpoints: 3
  ended under it" for 55 of 656 calls that harm no engine, each sent once.

  Scenario Outline: Adapters are loaded whose loads were on their way, seed <seed>
    Given instances a, b and d in zone z1 and c, f and g in zone z2, and 24 engines
    And callers of 20 adapters, drawn at random by seed <seed>, 60 calls a second
    When 20 deadly calls that begin within 3 seconds come again and again for 12 seconds
    Then no deadly call ran more than 3 times later than 3 seconds behind its third end
    And no other call was refused for the ends of engines

    Examples: Red before with 2, 3, 4 and 6
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

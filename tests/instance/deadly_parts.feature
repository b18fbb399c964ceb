Feature: A part of prompts that crashes engines is found, and refused everywhere

  Guards against telling calls apart by their whole: no two calls with the part are alike,
  so that no evidence added up. 20 and 13 engines crashed on one day, 11 and 7 of the calls
  sent after the fifth crash, and none was refused. Engines that were quick had sent an
  event before they crashed, and no call was named at all.

  Scenario Outline: The part crashes few engines where <trouble>, seed <seed>
    Given instances a, b and d in zone z1 and c, f and g in zone z2, and 9 engines
    And sound callers at random with seed <seed>, <rate> calls a second, that share parts
    When <deadly> calls a second with a deadly part are sent for 12 seconds while <trouble>
    Then at most 3 of them ran later than 3 seconds after the fifth crash
    And <ends> engines crashed under them at most
    And 90 in 100 of the sound calls were served, as many as at other times

    Examples: Many sound calls or few, many deadly ones or few
      | trouble         | rate | deadly | seed | ends |
      | nothing happens | 40   | 5      | 1    | 6    |
      | nothing happens | 10   | 2      | 2    | 6    |
      | nothing happens | 40   | 15     | 2    | 9    |

    Examples: Instances and engines end, and instances don't hear each other
      | trouble                      | rate | deadly | seed | ends |
      | the owner of z1 is killed    | 40   | 5      | 1    | 6    |
      | instances are killed in turn | 40   | 5      | 1    | 6    |
      | all instances are killed     | 40   | 5      | 2    | 6    |
      | zones can't reach each other | 40   | 5      | 1    | 6    |
      | the store does not answer    | 40   | 5      | 1    | 6    |
      | a third of the engines end   | 40   | 5      | 2    | 9    |
      | engines queue calls          | 40   | 5      | 1    | 6    |

  Scenario Outline: No part is blamed where <engines> of the engines end at once
    Given instances a, b and d in zone z1 and c, f and g in zone z2, and 9 engines
    And sound callers at random with seed 1, <rate> calls a second, that share parts
    When <engines> of the engines end at once, three times
    Then no call was refused for crashes of engines

    Examples:
      | engines | rate |
      | a third | 40   |
      | all     | 40   |
      | all     | 5    |

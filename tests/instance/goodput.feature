Feature: Goodput does not drop when more loads are requested than engines complete

  Nine engines with slots for four loads at once, of a second each, and three engines
  with two slots complete 42 loads a second. A call was refused once less time was left
  than a load takes, even if its load was almost complete; and loads that could only
  complete after that were started all the same. At 20 calls a second for different
  adapters, 1.3 were served.

  Background:
    Given an installation with instances a and b in zone z1 and c in zone z2
    And engines e1 and e2 in z1 and e3 in z2, and plain endpoints p1 in z1 and p2 in z2
    And 5 more instances in z1, and 9 more engines, with 9 slots
    And engines take 1 seconds to load an adapter

  Scenario Outline: Calls for different adapters are served at the rate of their loads
    Given 5000 adapters that are called in turn, <rate> calls a second
    When 6 seconds pass
    Then <least> calls a second of 8 seconds are served

    Examples:
      | rate | least |
      | 20   | 19    |
      | 25   | 24    |
      | 50   | 34    |
      | 100  | 34    |

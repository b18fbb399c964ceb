Feature: Prompts stall no stream for longer than its callers bear

  30 engines of 6 zones read 34 us a token between the events of their streams. Some adapters
  get most of the calls: the busiest engine got 2.3 times the mean, and a fifth of the long
  streams of a calm day paused for more than 0.3 s there.

  Scenario Outline: Calls of a calm day, placed with <way> copies
    Given 195 calls a second whose adapters are requested by a Zipf law of 1.2
    When they are placed with <way> copies
    Then 4 in 100 streams pause for too long at most, is <held>
    And the busiest engine gets 1.5 times the mean at most, is <held>

    Examples:
      | way     | held  |
      | no      | false |
      | further | true  |

  Scenario Outline: The copy for the first of engines: <copy>
    Then of engines "<engines>" with calls "<calls>" at the first, held by "<held>", the copy is <copy>

    Examples: Only an engine that is much fuller than others is relieved
      | engines                           | calls    | held | copy    |
      | a z1 0.6, b z1 0.1, c z2 0.1      | x 8, y 2 | x a  | x at c  |
      | a z1 0.2, b z1 0.01, c z2 0.01    | x 8, y 2 | x a  | none    |
      | a z1 0.6, b z1 0.55, c z2 0.55    | x 8, y 2 | x a  | none    |
      | a z1 0.6, b z1 0.1                | x 0.1, y 0.1, z 0.1, u 0.1, v 0.1, w 0.1, p 0.1, q 0.1, r 0.1, s 0.1, t 0.1 | x a | none |

    Examples: Not where calls can already go elsewhere, nor where there is no room
      | engines                           | calls    | held       | copy   |
      | a z1 0.6, b z1 0.1, c z2 0.1      | x 8, y 4 | x a c, y a | y at c |
      | a z1 0.6, b z1 0.5, c z2 0.1      | x 8      | x a b      | x at c |
      | a z1 0.6, b z1 0.1 full, c z2 0.1 | x 8      | x a c      | none   |
      | a z1 0.6, b z1 0.1, c z2 0 full   | x 8      | x a        | x at b |
      | a z1 0.6, b z1 0.1, c z2 0 unowned | x 8     | x a        | x at b |

  Scenario Outline: How much of its time an engine reads
    Then prompts of <tokens> tokens, <rate> a second at <micros> us, fill <fill>

    Examples:
      | tokens | rate | micros | fill  |
      | 826    | 6.5  | 34     | 0.183 |
      | 2368   | 10   | 34     | 0.805 |
      | 826    | 40   | 34     | 1.123 |

  Scenario Outline: A call is placed by what its prompt does to the streams there
    Given the engines "<engines>"
    And streams run at all of them, whose callers bear a pause of 0.3 seconds
    Then a call of <tokens> tokens from z1 is placed at <name>

    Examples: A load elsewhere is worth it before streams stall for too long
      | engines                                  | tokens | name |
      | a z1 1000 3 held, b z1 0 3 held          | 800    | b    |
      | a z1 3000 3 held, b z2 0 3 held          | 800    | b    |
      | a z1 1000 3 held, b z1 0 3 at_hand       | 800    | a    |
      | a z1 9000 3 held, b z1 0 3 at_hand       | 800    | b    |
      | a z1 12000 3 held, b z1 0 3 store        | 800    | b    |

Feature: How calls are placed, wait and are abandoned

  Engines are given as "name zone ahead slots source": prompt tokens ahead, free
  adapter slots, and where the adapter is. There are no samples yet.

  Scenario Outline: A call goes where its first event is expected first
    Given the engines "<engines>"
    Then a call of <tokens> tokens from z1 is placed at <chosen>

    Examples: The prompts ahead count, not the calls
      | engines                          | tokens | chosen |
      | a z1 40000 9 held, b z1 0 9 held | 8000   | b      |
      | a z1 300 9 held, b z1 0 9 held   | 8000   | b      |
      | a z1 0 9 held, b z1 0 9 held     | 8000   | a      |

    Examples: Traffic between zones is expensive, but less than a queue
      | engines                         | tokens | chosen |
      | a z2 0 9 held, b z1 1000 9 held | 800    | b      |
      | a z2 0 9 held, b z1 5000 9 held | 800    | a      |

    Examples: A further copy is preferred to a long queue, a fetch to a longer one
      | engines                            | tokens | chosen |
      | a z1 2000 9 held, b z1 0 9 at_hand | 8000   | a      |
      | a z1 5000 9 held, b z1 0 9 at_hand | 8000   | b      |
      | a z1 5000 9 held, b z1 0 9 store   | 8000   | a      |
      | a z1 40000 9 held, b z1 0 9 store  | 8000   | b      |

    Examples: The last free slot costs more than one of many
      | engines                               | tokens | chosen |
      | a z1 8000 9 held, b z1 0 1 at_hand    | 8000   | a      |
      | a z1 0 1 at_hand, b z1 1000 6 at_hand | 8000   | b      |

    Examples: An adapter is loaded again where it is still in memory
      | engines                              | tokens | chosen |
      | a z1 0 9 store, b z1 5000 5 at_hand  | 8000   | b      |
      | a z1 0 9 store, b z1 60000 5 at_hand | 8000   | a      |

    Examples: If slots are scarce, an engine with a free one is chosen
      | engines                             | tokens | chosen |
      | a z1 0 0 store, b z1 3000 3 store   | 8000   | b      |
      | a z1 0 -3 store, b z1 3000 0 store  | 8000   | b      |
      | a z1 0 0 at_hand, b z1 10000 9 held | 8000   | b      |

    Examples: Without an owner only loaded adapters can be used
      | engines                             | tokens | chosen |
      | a z1 0 9 unowned, b z1 60000 9 held | 8000   | b      |
      | a z1 0 9 unowned                    | 8000   | none   |

  Scenario: Calls that wait for a load count when further calls are placed
    Given the engines "a z1 0 9 store, b z1 0 9 store"
    When 8 calls of 8000 tokens from z1 are placed one after the other
    Then each of a and b gets 4 of them

  Scenario Outline: Local sends since the last report of an owner are added to it
    When the load of e in z has the history "<history>"
    Then <ahead> tokens are ahead there, and <slots> adapter slots are free

    Examples:
      | history                                          | ahead | slots |
      | nothing                                          | 0     | 1     |
      | sends 500                                        | 500   | 1     |
      | report 9000 and 3                                | 9000  | 3     |
      | report 9000 and 3, sends 500                     | 9500  | 3     |
      | sends 500, report 9000 and 3, reads 500          | 8500  | 3     |
      | sends 500, report 0 and 3                        | 500   | 3     |
      | report 9000 and 3, requests, requests            | 9000  | 1     |
      | report 9000 and 3, is denied                     | 9000  | 0     |
      | report 9000 and -2, is denied                    | 9000  | -2    |
      | report 9000 and 3, sends 500, z is unresponsive  | 500   | 1     |
      | report 9000 and 3, z is unresponsive, z responds | 9000  | 3     |
      | report 9000 and 3, sends 500, e is gone          | 0     | 1     |

  Scenario Outline: Loads ahead count for as long as they take there
    Given an owner reports that <loads> loads of <seconds> seconds are ahead at e
    Then a further load there begins in <queue> seconds

    Examples:
      | loads | seconds | queue |
      | 0     | 0.25    | 0     |
      | 3     | 0.25    | 0     |
      | 4     | 0.2     | 0.05  |
      | 11    | 0.2     | 0.4   |
      | 11    | 0.02    | 0.04  |

  Scenario Outline: A slow engine is sent fewer tokens to read
    Given the engines "<engines>"
    When a was seen to take <seconds> seconds for 10000 tokens 20 times
    And b was seen to take 0.3 seconds for 10000 tokens 20 times
    Then a call of 8000 tokens from z1 is placed at <chosen>

    Examples:
      | engines                         | seconds | chosen |
      | a z1 0 9 held, b z1 2000 9 held | 0.3     | a      |
      | a z1 0 9 held, b z1 2000 9 held | 0.9     | b      |

  Scenario Outline: How fast an engine reads is estimated from samples
    When e was seen to take <seconds> seconds for <tokens> tokens <times> times
    Then it is estimated to read a million tokens in <low> to <high> seconds

    Examples:
      | seconds | tokens | times | low | high |
      | 0.3     | 100    | 20    | 30  | 30   |
      | 0.3     | 5000   | 1     | 59  | 61   |
      | 0.1     | 5000   | 20    | 19  | 21   |
      | 9.0     | 5000   | 1     | 89  | 91   |

  Scenario Outline: Which of the waiting adapters gets a slot
    When at 0 the loads "<requests>" are requested by priority, slack and hold
    Then at <at> they are ordered as <order>

    Examples: Loads that can be in time go first, by when they are due
      | requests             | at  | order |
      | a 0 0.5 1, b 0 0.2 1 | 0   | b a   |
      | a 0 0.5 1, b 0 0.2 1 | 0.3 | a b   |
      | a 0 -1 1, b 0 0.2 1  | 0   | b a   |

    Examples: Of two late ones, the one requested first
      | requests             | at | order |
      | a 0 0.2 1, b 0 0.1 1 | 1  | a b   |

    Examples: Short calls before long ones, urgent ones before others
      | requests             | at | order |
      | a 0 0.3 3, b 1 0.3 1 | 0  | b a   |
      | a 1 0.3 1, b 0 0.3 1 | 0  | b a   |
      | a 0 0.3 3, b 1 2.0 1 | 0  | a b   |

  Scenario: An adapter that is requested again is due when its last call is
    When at 0 the loads "a 0 0.2 1, b 0 0.4 1, a 0 0.6 1" are requested by priority, slack and hold
    Then at 0.3 they are ordered as b a
    And at 0.5 they are ordered as a b

  Scenario Outline: An unresponsive engine is abandoned
    When calls at e have the history "<history>", checked each 0.1 seconds
    Then at <at> these have left it: <left>

    Examples:
      | history                                            | at  | left |
      | 0 x sent, 0.1 x receives                           | 0.6 | none |
      | 0 x sent, 0.1 x receives                           | 0.9 | x    |
      | 0 x sent, 0.1 x receives, 0.2 y sent               | 0.9 | x y  |
      | 0 x sent, 0 y sent, 0.1 x receives, 0.5 y receives | 0.9 | none |
      | 0 x sent                                           | 3   | none |
      | 0 x sent, 0.1 x receives, 0.3 x ends, 0.3 y sent   | 3   | none |
      | 0 x sent, 0.1 x receives, 0.2 suspended until 2.0  | 2.3 | none |
      | 0 x sent, 0.1 x receives, 0.2 suspended until 2.0  | 2.9 | x    |

  Scenario Outline: Random calls are placed where they can run
    When 400 random engines and calls are placed with seed <seed>
    Then each goes to an engine that holds its adapter or may load it
    And each is placed if there is any such engine
    And no engine is chosen if another of its zone is better in every respect

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Every adapter that waits is loaded or denied
    When adapters are requested at random at an engine of <slots> slots with seed <seed>
    Then each was loaded or denied within a second
    And no more adapters were at the engine than slots

    Examples:
      | slots | seed |
      | 1     | 1    |
      | 3     | 2    |
      | 9     | 3    |
      | 9     | 4    |

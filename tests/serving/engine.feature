Feature: An owner's orders to one engine

  A history is a list of steps at times. Results are those of the last order.

  Background:
    Given the record of an engine with 2 slots that has its base model loaded

  Scenario Outline: The next order follows from the engine's history
    When the history of the engine is "<history>"
    Then the next order at <at> is <order>

    Examples:
      | history                                                                     | at   | order          |
      | 0 nothing                                                                   | 0    | none           |
      | 0 requests a                                                                | 0    | load a         |
      | 0 requests a, 0 orders                                                      | 0.1  | none           |
      | 0 requests a, 0 orders, 0.01 accepted                                       | 0.02 | none           |
      | 0 requests a, 0 orders, 0.01 accepted                                       | 0.05 | load a again   |
      | 0 requests a, 0 orders, 0.01 accepted, 0.05 orders, 0.05 done               | 0.1  | none           |
      | 0 requests a, 0 requests b urgently                                         | 0    | load b         |
      | 0 requests a                                                                | 0.9  | load a         |
      | 0 requests a                                                                | 1.1  | none           |
      | 0 requests a, 0.9 requests a                                                | 1.1  | load a         |
      | 0 holds a and b, 1 requests c                                               | 1    | unload a       |
      | 0 holds a and b, 0 used a, 1 requests c                                     | 1    | unload b       |
      | 0 holds a and b, 0.9 used a, 0.9 used b, 1 requests c                       | 1    | none           |
      | 0 holds a and b, 0.9 used a, 0.9 used b, 1 requests c                       | 1.5  | unload a       |
      | 0 holds a and b, 0 runs a, 1 requests c                                     | 1    | unload b       |
      | 0 holds a and b, 0 runs a, 0 runs b, 1 requests c                           | 1.1  | none           |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 done                          | 1.02 | load c         |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 accepted                      | 1.03 | unload a again |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 accepted, 1.02 requests d     | 1.03 | unload a again |
      | 0 holds a and b, 1 requests a at 2                                          | 1    | load a at 2    |
      | 0 holds a and b, 0.9 runs a, 1 requests a at 2                              | 1    | none           |
      | 0 holds a and b, 0 retires a at 2, 0 used a, 1 requests c                   | 1    | unload a       |
      | 0 requests a, 0 orders, 0.01 conflict                                       | 0.1  | none           |
      | 0 requests a, 0 orders, 0.01 unknown                                        | 0.01 | load a         |
      | 0 requests a, 0 requests b urgently, 0 orders, 0.01 unknown, 0.01 requests c urgently | 0.01 | load b         |
      | 0 requests a, 0 resends fail up to the limit                                | 5    | none           |
      | 0 requests a, 0 orders, 0.01 not_sent                                       | 5    | none           |
      | 0 requests a, 0 orders, 0.01 accepted, 0.05 orders, 0.05 requests b         | 0.05 | load b         |
      | 0 requests a, 0 orders, 0.01 accepted, 0.01 requests b, 0.01 orders         | 0.05 | none           |
      | 0 requests a, 0 orders, 0.01 accepted, 0.05 orders, 0.05 unknown            | 0.1  | load a again   |
      | 0 requests a, 0 orders, 0.01 accepted, 0.05 orders, 0.05 conflict           | 0.1  | load a again   |
      | 0 requests a, 0 orders, 0.01 accepted, 0.05 polls fail up to the limit      | 9    | none           |
      | 0 requests a, 0 orders, 0.01 accepted, 0.05 polls fail up to the limit, 1 reports a arriving | 1    | load a again   |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 conflict                      | 1.1  | none           |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 conflict                      | 5    | none           |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 conflict, 2 holds a and b, 2 requests c | 2.5  | unload a       |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 accepted, 1.03 orders, 1.03 conflict | 5    | unload a again |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 accepted, 1.03 polls fail up to the limit | 5    | none           |
      | 0 requests a, 0 resends fail up to the limit, 1 reports nothing             | 1    | load a         |
      | 0 requests a, 0 resends fail up to the limit, 1 reports a arriving          | 1    | load a again   |
      | 0 requests a, 0 orders, 0.01 invalid, 1 reports nothing                     | 1    | none           |
      | 0 reports no base                                                           | 0    | load the base  |
      | 0 reports no base, 0 orders, 0.01 accepted                                  | 0.1  | none           |
      | 0 reports no base, 0 orders, 0.01 accepted                                  | 0.4  | load the base  |
      | 0 reports no base, 0 another engine loads its base                          | 0.9  | none           |
      | 0 reports no base, 0 another engine loads its base                          | 1    | load the base  |
      | 0 reports no base, 0 orders, 0.01 accepted, 1 another engine loads its base | 1.1  | load the base  |
      | 0 reports no base, 0 orders, 0.01 done, 0.02 requests a                     | 0.02 | load a         |
      | 0 requests a, 0 orders, 0.01 accepted, 0.04 orders, 0.05 done, 0.06 requests b, 0.06 orders, 0.07 done, 0.08 requests c | 0.1  | none           |

  Scenario Outline: Among late requests, the adapter that was denied first goes first
    When the history of the engine is "<history>"
    Then the next order at <at> is <order>

    Examples:
      | history                                | at   | order  |
      | 0 requests a late, 0.1 requests b late | 0.2  | load a |
      | 0 requests b late, 0.6 fails, 0.7 reports nothing, 1 requests a late, 1.1 requests b late | 1.2  | load b |
      | 0 requests b late, 0.6 fails, 0.7 reports nothing, 20 requests a late, 20.1 requests b late | 20.2 | load a |

  Scenario Outline: Each order states how many were accepted before
    When the history of the engine is "<history>"
    Then the sequence is <sequence>

    Examples:
      | history                                                                       | sequence |
      | 0 requests a, 0 orders, 0.01 accepted                                         | 1        |
      | 0 requests a, 0 orders, 0.01 done                                             | 0        |
      | 0 requests a, 0 orders, 0.01 accepted, 0.05 orders, 0.05 accepted             | 1        |
      | 0 requests a, 0 orders, 0.01 accepted, 0.05 orders, 0.05 done                 | 1        |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 done                            | 1        |
      | 0 requests a, 0 orders, 0.01 unknown, 0.01 orders, 0.02 accepted              | 1        |
      | 0 requests a, 0 orders, 0.01 unknown, 0.01 orders, 0.02 done                  | 1        |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 unknown, 1.01 orders, 1.02 done | 1        |
      | 0 requests a, 0 orders, 0.01 accepted, 0.05 orders, 0.05 unknown              | 1        |
      | 0 reports no base, 0 orders, 0.01 accepted, 0.4 orders, 0.41 accepted         | 1        |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 accepted, 1.1 orders, 1.1 done  | 1        |

  Scenario Outline: The changes that subscribers receive
    When the history of the engine is "<history>"
    Then the changes are "<changes>"

    Examples:
      | history                                            | changes     |
      | 0 requests a, 0 orders, 0.01 accepted              |             |
      | 0 requests a, 0 orders, 0.01 done                  | +a          |
      | 0 holds a and b                                    | +a +b       |
      | 0 holds a and b, 1 requests c, 1 orders            | +a +b -a    |
      | 0 holds a and b, 1 retires a at 2                  | +a +b -a    |
      | 0 holds a and b, 1 requests a at 2, 1 orders       | +a +b -a    |
      | 0 holds a and b, 1 misses a                        | +a +b -a    |
      | 0 holds a and b, 1 reports nothing                 | +a +b -a -b |
      | 0 holds a and b, 1 holds a and b                   | +a +b       |
      | 0 holds a and b, 1 retires a at 2, 2 holds a and b | +a +b -a +a |

  Scenario: The first report voids the updates of earlier owners
    Then the first report voids all earlier updates, once

  Scenario Outline: A report shows finished loads while an order blocks the others
    When the history of the engine is "<history>"
    Then at <at> a report <is read>, and the changes are "<changes>"

    Examples:
      | history                                                          | at   | is read     | changes  |
      | 0 requests b, 0 orders, 0.01 accepted                            | 0.1  | is not read |          |
      | 0 reports a arriving, 0 requests b, 0 orders, 0.01 accepted      | 1    | is not read |          |
      | 0 holds a and b, 1 requests c, 1 orders, 1.01 accepted           | 1.5  | is not read | +a +b -a |
      | 0 holds b with a arriving, 1 requests c, 1 orders, 1.01 accepted | 1.01 | is read     | +b -b    |
      | 0 holds b with a arriving, 1 requests c, 1 orders, 1.01 accepted, 1.01 a report is due | 1.1  | is not read | +b -b    |
      | 0 holds b with a arriving, 1 requests c, 1 orders, 1.01 accepted, 1.01 a report is due | 1.2  | is read     | +b -b    |
      | 0 holds b with a arriving, 1 requests c, 1 orders, 1.01 accepted, 1.1 shows a and b | 1.2  | is not read | +b -b +a |

  Scenario Outline: An adapter whose order the engine refuses is denied
    When the history of the engine is "<history>"
    Then a is denied

    Examples:
      | history                                     |
      | 0 requests a, 0 orders, 0.01 not_sent       |
      | 0 requests a, 0 orders, 0.01 invalid        |
      | 0 requests a, 0 orders, 0.01 wrong_endpoint |

  Scenario Outline: A report that can't be read denies adapters that waited too long
    All adapters queued for an engine were denied as soon as one report failed, also
    those that had just been requested and that the next report, 0.3 seconds later,
    would have admitted.

    When the history of the engine is "<history>"
    Then these are denied: <denied>

    Examples:
      | history                                                  | denied  |
      | 0 requests a, 0.6 fails                                  | a       |
      | 0 requests a, 0.3 fails                                  | nothing |
      | 0 requests a, 0.5 requests b, 0.6 fails                  | a       |
      | 0 requests a, 0.3 fails, 0.4 fails                       | a       |
      | 0 requests a, 0.3 fails, 0.4 reports nothing, 0.45 fails | nothing |
      | 0 fails, 0.5 fails, 0.6 is refused a                     | nothing |
      | 0 fails, 0.5 fails, 0.6 reports nothing, 0.7 requests a  | nothing |

  Scenario: An adapter for which no copy can be evicted is denied
    When the history of the engine is "0 holds a and b, 0 runs a, 0 runs b, 1 requests c"
    And the next order at 1.49 is planned
    Then nothing is ordered
    And nothing is denied
    When the next order at 1.55 is planned
    Then nothing is ordered
    And c is denied

  Scenario: An adapter that was denied before waits as long as others for a slot
    The time since its first denial was mistaken for its waiting time.

    When the history of the engine is "0 requests c, 0.6 fails, 0.7 holds a and b, 0.7 runs a, 0.7 runs b, 1 requests c"
    And the next order at 1.3 is planned
    Then these are denied: c
    When the next order at 1.55 is planned
    Then these are denied: c c

  Scenario: Requests beyond the limit of the queue are refused
    When 64 adapters are requested
    Then another one is refused
    And a more urgent request for a queued adapter is accepted

  Scenario Outline: The first poll adapts to the load times observed
    When loads are found done after "<found>"
    Then the first poll of the next load is after <first> seconds

    Examples:
      | found                            | first |
      |                                  | 0.02  |
      | 0.25 after 4 polls               | 0.25  |
      | 0.25 after 4 polls, 0.25 at once | 0.225 |
      | 9.0 after 40 polls               | 0.3   |

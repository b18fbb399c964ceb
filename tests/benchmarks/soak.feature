Feature: The soak tells a cut of its own making from one by an instance

  Runners break answers off as the soak tells them to, and all that runs on one ends
  with it. A stream that ended so at an instance that was leaving was counted as cut by
  the drain, 0.042 seconds behind its sending, where the instance had drained with
  "cut": 0.

  Scenario Outline: Of calls cut at a drain, runners broke off <spoiled>
    Given a soak in which the calls "r1, r2" were cut at instances that were leaving
    When the runners tell that they broke off "<spoiled>"
    Then <violations> calls were cut by a drain and <excused> by runners

    Examples:
      | spoiled | violations | excused |
      | nothing | 2          | 0       |
      | r1      | 1          | 1       |
      | r1, r2  | 0          | 2       |
      | r3      | 2          | 0       |

  Scenario Outline: A call of a route with a limit of 2 seconds ends at a drain: <answer>
    Given a soak in which a call ends at a drain after <lasted> seconds, <answer>
    Then <violations> calls were cut by a drain and <expired> at their limit

    Examples:
      | answer                | lasted | violations | expired |
      | its answer is cut     | 1.5    | 1          | 0       |
      | its answer is cut     | 1.95   | 1          | 0       |
      | its answer is cut     | 2.0    | 0          | 1       |
      | it has no answer      | 2.0    | 1          | 0       |
      | its answer is whole   | 2.0    | 0          | 0       |

  Scenario Outline: A runner with a limit gets <calls> calls, <late> behind its naming
    Given a soak in which a runner that may get 18 calls gets <calls>, <late> of them late
    Then <violations> runners got more than their limit

    Examples: A runner got 15 calls in the 0.6 seconds before it named 2.2 a second
      | calls | late | violations |
      | 22    | 7    | 0          |
      | 22    | 18   | 0          |
      | 22    | 19   | 1          |

  Scenario Outline: A deadly call that runs <runs>
    Given a soak in which a deadly call ran at "<runs>" seconds
    Then <violations> deadly calls ran again

    Examples:
      | runs                                     | violations |
      | 1, 2                                     | 0          |
      | 1, 2, 3, 4, 5, 6, 6.4                    | 0          |
      | 1, 2, 3, 7, 8, 9                         | 0          |
      | 1, 2, 3, 7, 8, 9, 10                     | 1          |
      | 1, 2, 3, 7, 8, 9, 10 at a frozen one     | 0          |
      | 1 left, 2, 3, 7, 8, 9, 10                | 0          |
      | 1 left, 2, 3, 4, 8, 9, 10, 11            | 1          |
      | 1, 2, 3, 7 left, 8, 9, 10                | 1          |

  Scenario Outline: What runners said is kept to, or not, where a call comes <after> s later
    Given a soak in which a runner says <word> to a call, and <calls> more come <after> s later
    Then <late> calls came too late and <broken> rests were broken

    Examples: Two calls are allowed in a rest, and any in its first half second
      | word    | calls | after | late | broken |
      | leaving | 1     | 1.9   | 0    | 0      |
      | leaving | 3     | 2.1   | 3    | 0      |
      | rest    | 2     | 1.0   | 0    | 0      |
      | rest    | 3     | 1.0   | 0    | 1      |
      | rest    | 9     | 0.4   | 0    | 0      |
      | rest    | 9     | 3.1   | 0    | 0      |

  Scenario Outline: A stream of a route with a limit of 2 seconds is cut <case>
    Given a soak in which a stream is cut after <lasted> seconds, <case>
    Then <violations> streams were cut by an instance, and <expired> at their limit

    Examples:
      | case                            | lasted | violations | expired |
      | at an engine that noted no end  | 1.1    | 1          | 0       |
      | at a sound engine               | 1.1    | 1          | 0       |
      | at a sound engine               | 1.99   | 1          | 0       |
      | at a sound engine               | 2.0    | 0          | 1       |
      | as its engine was not sound     | 1.1    | 0          | 0       |
      | as another call's was not       | 1.1    | 1          | 0       |
      | at an instance that stood still | 1.1    | 0          | 0       |

  Scenario Outline: A call that ran at two engines at once <case>
    Given a soak in which a call runs at two engines at once, <case>
    Then <violations> calls ran at two engines

    Examples:
      | case                            | violations |
      | at a sound instance             | 1          |
      | at an instance that stood still | 0          |
      | of which no caller knows        | 1          |

  Scenario Outline: A call of a route with 2 attempts runs <runs> times, <ended> at engines that end
    Given a soak in which a call runs <runs> times, <ended> of them at engines that end
    Then <violations> calls had too many runs

    Examples:
      | runs | ended | violations |
      | 2    | 0     | 0          |
      | 3    | 0     | 1          |
      | 3    | 1     | 0          |
      | 4    | 1     | 1          |

  Scenario Outline: A call to an instance that <what> is held up: <is_held_up>
    Given a soak in which an instance <what> behind a call's sending
    Then the call is held up: <is_held_up>

    Examples:
      | what         | is_held_up |
      | does nothing | no         |
      | stands still | yes        |
      | goes on      | yes        |
      | is away      | yes        |
      | starts again | yes        |

  Scenario: A call to an instance that went on before it was sent is not held up
    Given a soak in which an instance goes on before a call's sending
    Then the call is held up: no

  Scenario Outline: An engine that <fault> during two streams, and one that comes then
    Given an engine with two streams and an event of each
    When it <fault> for 1 second, and a third stream comes
    Then the streams have "<at_once>" events 0.9 seconds later
    And "<behind>" events 0.5 seconds behind that

    Examples:
      | fault   | at_once | behind  |
      | pauses  | 1, 1, 0 | 3, 3, 3 |
      | hangs   | 1, 1, 0 | 1, 1, 0 |

  Scenario Outline: A sound run was given up of a stream that <ends>: <is_given_up>
    Given an engine with two streams and an event of each
    When the first <ends>
    Then a sound run of it was given up: <is_given_up>

    Examples:
      | ends                                            | is_given_up |
      | is whole                                        | yes         |
      | is whole, and its engine crashes                | yes         |
      | is left by its sender                           | yes         |
      | is left as its engine pauses                    | yes         |
      | is left as its engine hangs                     | no          |
      | is left as its engine starts again              | no          |
      | is broken off as its engine crashes             | no          |
      | is broken off, and a second is whole            | yes         |
      | hangs, and a second is left                     | yes         |
      | is replaced, and a second is broken off         | no          |
      | is left, and a second is broken off             | no          |
      | is left, and a second is broken off at once     | yes         |
      | is broken off, and a second is left             | yes         |

  Scenario Outline: Runners receive the sends "<sends>" of a call with 4 s, sent at 10 s
    Given a soak in which runners receive "<sends>", each as its time and its limit
    Then <late> sends had more time than was left

    Examples: A send names what is left; one that follows ends no later than the first
      | sends             | late |
      | 10: 4             | 0    |
      | 10: 4.4           | 0    |
      | 10: 4.6           | 1    |
      | 10: none          | 1    |
      | 12: 4             | 0    |
      | 10: 4, 12: 2      | 0    |
      | 10: 4, 12: 2.4    | 0    |
      | 10: 4, 12: 2.6    | 1    |
      | 10: 2, 12: 2.4    | 0    |
      | 12: 4, 13: 3.4    | 0    |
      | 12: 4, 13: 3.6    | 1    |

  Scenario Outline: Runners receive <retries> retries beside 50 calls in <seconds> s
    Given a soak in which runners receive 50 calls and <retries> retries over <seconds> s
    Then the retry rule is broken: <is_broken>

    Examples: 50 and a fifth of the calls are allowed in 10 s
      | retries | seconds | is_broken |
      | 60      | 5       | no        |
      | 61      | 5       | yes       |
      | 110     | 25      | no        |

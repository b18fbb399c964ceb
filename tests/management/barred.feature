Feature: Operators see what is refused for the ends of endpoints, and let it in again

  Scenario Outline: What logs tell of refused work
    Given logs in which "<lines>"
    When the refused work is looked for
    Then what is found is "<found>"

    Examples:
      | lines                                                              | found                                        |
      | nothing happens                                                    | nothing                                      |
      | 1 ended e1 a, 2 ended e2 a, 2 barred a 2                           | a 2 from 2 at e1 e2 by no call, not let in   |
      | 1 cut r1 a, 1 ended e1 a, 2 cut r2 a, 2 ended e2 a, 2 barred a 2   | a 2 from 2 at e1 e2 by r1 r2, not let in     |
      | 2 barred a 2, 3 barred a 2, 70 barred a 3                          | a 3 from 2 at no endpoint by no call, not let in |
      | 2 barred a 2, 9 cleared a                                          | a 2 from 2 at no endpoint by no call, let in |
      | 2 barred a 2, 9 cleared a, 80 barred a 2                           | a 2 from 2 at no endpoint by no call, not let in |
      | 1 ended e1 a, 2 cleared a                                          | nothing                                      |

  Scenario: A row is deleted, and one that is not there is told of
    Given a platform of the interface routes with a row of refused work
    When the tool lets it in again
    Then it exits with 0 and prints "is let in again"
    When the tool lets it in again
    Then it exits with 1 and says "unknown_work"
    When the tool lets "no identity" in again
    Then it exits with 1 and says "malformed_message"

Feature: One instance at a time gives orders to a zone's engines

  A history is a list of steps at times: "t instance did". Times are seconds.

  Scenario Outline: Who may order, and when
    Given instances a and b with a quiet time of 3 seconds
    When it happens that "<history>"
    Then at <at> orders may be given by <who>

    Examples:
      | history                                                                     | at   | who    |
      | 0 a reads nothing, 0 a sends, 0.1 a is written                              | 0.2  | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written                              | 1.8  | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written                              | 1.9  | nobody |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.1 a is written | 2.8  | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.1 a is unconfirmed | 1.8  | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.1 a is unconfirmed | 1.9  | nobody |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.1 a is unconfirmed, 1.5 a reads a2 | 2.8  | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.1 a conflicts  | 1.2  | nobody |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.05 a reads a2, 1.1 a is written as 2 | 1.2  | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.05 a reads a2, 1.1 a is written as 2 | 2.8  | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.1 a is written, 1.2 a reads a1 | 1.3  | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.05 a reads b2  | 1.2  | nobody |
      | 0 a reads a1, 2 a sends, 2.1 a is unconfirmed, 3 a reads b2                 | 4    | nobody |
      | 0 b reads a1, 2 b sends, 2.1 b is written                                   | 5.5  | nobody |
      | 0 b reads a1, 2 b sends, 2.1 b is written                                   | 2.4  | nobody |
      | 0 b reads a1, 2 b sends, 2.1 b is written                                   | 2.6  | b      |
      | 0 b reads a1 written at -9, 0 b sends, 0.1 b is written                     | 0.1  | b      |
      | 0 b reads a1 written at -2.8, 0 b sends, 0.1 b is written                   | 0.1  | nobody |
      | 0 b reads a1 written at -2.8, 0 b sends, 0.1 b is written                   | 0.3  | b      |
      | 0 b reads a1 released written at -0.5, 0 b sends, 0.1 b is written          | 0.4  | nobody |
      | 0 b reads a1 released written at -0.5, 0 b sends, 0.1 b is written          | 0.6  | b      |
      | 0 b reads a1 released written at -2, 0 b sends, 0.1 b is written            | 0.1  | b      |
      | 0 b reads a1, 2 b sends, 2.1 b is written, 5 b sends, 5.1 b is written      | 5.7  | b      |
      | 0 b reads a1, 2 b sends, 2.1 b is unconfirmed, 2.45 b reads b2              | 2.48 | nobody |
      | 0 b reads a1, 2 b sends, 2.1 b is unconfirmed, 2.45 b reads b2              | 2.6  | b      |

  Scenario Outline: An instance that regains a lease observes the quiet time after its last term
    Given instances a and b with a quiet time of 3 seconds
    When it happens that "<history>, 0 a sends, 0.1 a is written, 1.5 a sends, 1.6 a is written, 3 a sends, 3.1 a is written"
    Then at <at> orders may be given by <who>

    Examples:
      | history                                                           | at  | who    |
      | 0 a reads b1 released written at -0.5 after a until -1            | 2.9 | nobody |
      | 0 a reads b1 released written at -0.5 after a until -1            | 3.1 | a      |
      | 0 a reads b1 released written at -0.5 after a until -9            | 0.4 | nobody |
      | 0 a reads b1 released written at -0.5 after a until -9            | 0.6 | a      |
      | 0 a reads b1 released written at -0.5 after c until -1            | 0.6 | a      |
      | 0 a reads A1 written at -0.5 with orders from -1                  | 0.4 | nobody |
      | 0 a reads A1 written at -0.5 with orders from -1                  | 0.6 | a      |
      | 0 a reads A1 written at -0.5 with orders from 2                   | 2.4 | nobody |
      | 0 a reads A1 written at -0.5 with orders from 2                   | 2.6 | a      |
      | 0 a reads A1 written at -0.5 with orders from -1 after a until -1 | 0.6 | a      |
      | 0 a reads A1 written at -0.5                                      | 3.4 | nobody |

  Scenario Outline: The row lists the recent holders
    Given instances a and b with a quiet time of 3 seconds
    When it happens that "<history>, 0 a sends"
    Then the row that is sent lists "<former>" as previous holders

    Examples:
      | history                                              | former    |
      | 0 a reads nothing                                    | nobody    |
      | 0 a reads b1 written at -4                           | b@-2      |
      | 0 a reads b1 written at -9                           | nobody    |
      | 0 a reads b1 released written at -1                  | b@-1      |
      | 0 a reads b1 released written at -1 after c until -2 | c@-2 b@-1 |
      | 0 a reads b1 released written at -1 after c until -9 | b@-1      |
      | 0 a reads A1 written at -1 after c until -2          | c@-2      |
      | 0 a reads b1 released                                | b@-0.5    |

  Scenario Outline: The next step of a holder or candidate
    Given instances a and b with a quiet time of 3 seconds
    When it happens that "<history>"
    Then at <at> the next step of <who> is <step>

    Examples:
      | history                                            | at  | who | step    |
      | 0 a knows nothing                                  | 0   | a   | read    |
      | 0 a reads nothing                                  | 0   | a   | take    |
      | 0 a reads b1                                       | 1.9 | a   | read    |
      | 0 a reads b1                                       | 2   | a   | take    |
      | 0 a reads b1, 1 a reads b1                         | 2   | a   | take    |
      | 0 a reads b1, 1 a reads b2                         | 2.9 | a   | read    |
      | 0 a reads b1, 1 a reads b2                         | 3   | a   | take    |
      | 0 a reads b1, 0.5 a reads b2 released              | 0.5 | a   | take    |
      | 0 a reads b1 written at -3                         | 0   | a   | take    |
      | 0 a reads b1 written at -2                         | 0.4 | a   | read    |
      | 0 a reads b1 written at -2                         | 0.6 | a   | take    |
      | 0 a reads nothing, 0 a sends                       | 5   | a   | nothing |
      | 0 a reads A1 written at 0                          | 0   | a   | take    |
      | 0 b reads A1 written at 0                          | 0   | b   | read    |
      | 0 a reads nothing, 0 a sends, 0.1 a is written     | 0.9 | a   | nothing |
      | 0 a reads nothing, 0 a sends, 0.1 a is written     | 1   | a   | renew   |
      | 0 a reads nothing, 0 a sends, 0.1 a conflicts      | 0.2 | a   | read    |
      | 0 a reads nothing, 0 a sends, 0.1 a is unconfirmed | 0.2 | a   | read    |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.1 a is unconfirmed | 1.2 | a   | read    |

  Scenario: The fencing number of a term is the version at its start
    Given instances a and b with a quiet time of 3 seconds
    When it happens that "0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sends, 1.1 a is written"
    Then the fencing number of a is 1

  Scenario: No order is given after the lease is released
    Given instances a and b with a quiet time of 3 seconds
    When it happens that "0 a reads nothing, 0 a sends, 0.1 a is written, 0.5 a releases"
    Then at 0.6 orders may be given by nobody

  Scenario Outline: Malformed rows are detected
    When a lease's row holds <what>
    Then the row is <result>

    Examples:
      | what                 | result    |
      | a record             | read      |
      | no bytes             | malformed |
      | text                 | malformed |
      | two fields           | malformed |
      | a list without times | malformed |
      | a text as its list   | malformed |

  Scenario Outline: Who may order after the store is restored from an older copy
    The row may then be outdated, and a term may be in no row.

    Given instances a and b with a quiet time of 3 seconds
    When it happens that "0 a sees era 1, 0 b sees era 1, <history>"
    Then at <at> orders may be given by <who>

    Examples: A holder continues, and writes its term again while it is valid
      | history                                                        | at  | who    |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sees era 2 | 1.8 | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written, 1 a sees era 2 | 1.9 | nobody |
      | 0 a reads nothing, 0 a sends, 0.1 a is written as 9, 1 a sees era 2, 1 a reads b3 of era 1, 1.1 a sends, 1.2 a is written as 4 | 2.9 | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written as 9, 1 a sees era 2, 1 a reads nothing, 1.1 a sends, 1.2 a is written as 4 | 2.9 | a      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written as 9, 1 a sees era 2, 1 a reads b3 of era 2 | 1.1 | nobody |
      | 0 a reads nothing, 0 a sends, 0.1 a is written as 9, 1 a sees era 2, 1 a reads b3 of era 1, 1.1 a sends, 1.2 a conflicts | 1.3 | nobody |
      | 0 a reads nothing, 0 a sends, 0.1 a is written as 9, 3 a sees era 2, 3 a reads a3 of era 1 | 3.1 | nobody |

    Examples: The answer to a renewal shows the restore
      | history | at  | who |
      | 0 a reads nothing, 0 a sends, 0.1 a is written as 9, 1 a sends, 1.1 a sees era 2, 1.1 a conflicts | 1.2 | a   |
      | 0 a reads nothing, 0 a sends, 0.1 a is written as 9, 1 a sends, 1.1 a sees era 2, 1.1 a is unconfirmed | 1.2 | a   |
      | 0 a reads nothing, 0 a sends, 0.1 a is written as 9, 1 a sends, 1.1 a sees era 2, 1.1 a conflicts, 1.1 a reads b3 of era 1, 1.2 a sends, 1.3 a is written as 4 | 3   | a   |

    Examples: An unconfirmed write is recognised only in rows of its own era
      | history | at  | who    |
      | 0 a reads b9 of era 1, 2 a sends, 2.1 a is unconfirmed, 2.2 a sees era 2, 2.3 a reads a3 of era 1 | 3.5 | nobody |
      | 0 a reads b9 of era 1, 2 a sees era 2, 2 a reads b3 of era 1, 4 a sends, 4.1 a is unconfirmed, 4.2 a reads a4 of era 2 | 5   | a      |

    Examples: A new holder orders after all orders that the lost term may have sent
      | history | at  | who    |
      | 0 b reads a9 of era 1, 1 b sees era 2, 1 b reads a3 written at -9 of era 1, 3 b sends, 3.1 b is written as 4 | 3.4 | nobody |
      | 0 b reads a9 of era 1, 1 b sees era 2, 1 b reads a3 written at -9 of era 1, 3 b sends, 3.1 b is written as 4 | 3.6 | b      |
      | 0 a reads nothing, 0 a sends, 0.1 a is written as 9, 1 a sees era 2, 3 a reads b3 of era 2, 5 a sends, 5.1 a is written as 4 | 5.4 | nobody |
      | 0 a reads nothing, 0 a sends, 0.1 a is written as 9, 1 a sees era 2, 3 a reads b3 of era 2, 5 a sends, 5.1 a is written as 4 | 5.6 | a      |

  Scenario Outline: The next step of a candidate after a restore
    Given instances a and b with a quiet time of 3 seconds
    When it happens that "0 a sees era 1, 0 b sees era 1, <history>"
    Then at <at> the next step of b is <step>

    Examples:
      | history                                                                    | at  | step |
      | 0 b reads a9 written at -9 of era 1                                        | 0.1 | take |
      | 0 b reads a9 of era 1, 1 b sees era 2                                      | 9   | read |
      | 0 b reads a9 of era 1, 1 b sees era 2, 1 b reads a3 written at -9 of era 1 | 2.9 | read |
      | 0 b reads a9 of era 1, 1 b sees era 2, 1 b reads a3 written at -9 of era 1 | 3.1 | take |
      | 0 b reads a9 of era 1, 1 b sees era 2, 1 b reads a3 released written at -9 of era 1 | 2.9 | read |
      | 0 b reads a9 of era 1, 1 b sees era 2, 1 b reads B3 written at -9 of era 1 | 2.9 | read |
      | 0 b reads a9 of era 1, 1 b sees era 2, 1 b reads B3 written at -9 of era 2 | 1.1 | take |
      | 0 b reads a9 of era 1, 1 b sees era 2, 1 b reads a3 written at -9 of era 2 | 1.1 | take |
      | 0 b reads a9 of era 1, 1 b sees era 2, 1 b reads nothing                   | 2.9 | read |
      | 0 b reads a9 of era 1, 1 b sees era 2, 1 b reads nothing                   | 3.1 | take |
      | 0 b reads a9, 1 b sees era 2, 1 b reads a3 written at -9                   | 2.9 | read |
      | 0 b reads a9 written at -9                                                 | 0.1 | take |

  Scenario Outline: Terms of a newer era have higher numbers
    Given instances a and b with a quiet time of 3 seconds
    When it happens that "0 a sees era 1, 0 a reads b9 of era 1, 1 a sees era 2, 1 a reads b3 of era 1, 3 a sends, 3.1 a is written as <version>"
    Then the fencing number of a is <version> of era 2

    Examples:
      | version |
      | 4       |
      | 90      |

  Scenario: A term after one of the previous release continues its numbers
    With three instances of each release taking turns, a fence of 152 followed
    fences of 2^40 and more.

    Given instances a and b with a quiet time of 3 seconds
    When it happens that "0 a sees era 5, 0 a reads b9, 3 a sends, 3.1 a is written as 10"
    Then the fencing number of a is 10 of era 0

  Scenario Outline: A row from before a restore names no owner
    Given instances a and b with a quiet time of 3 seconds
    When it happens that "0 a sees era 1, <history>"
    Then a considers <holder> the holder

    Examples:
      | history                                             | holder |
      | 0 a reads b9 of era 1                               | b      |
      | 0 a reads b9                                        | b      |
      | 0 a reads b9 of era 1, 1 a sees era 2               | nobody |
      | 0 a reads b9, 1 a sees era 2                        | nobody |
      | 0 a reads b9, 1 a sees era 2, 1 a reads b3 of era 1 | nobody |
      | 0 a reads b9, 1 a sees era 2, 1 a reads b3 of era 2 | b      |

  Scenario: The previous release can read a row with an era
    When a record of era 7 is written and read
    Then it is of era 7, and has the 6 fields of the previous release

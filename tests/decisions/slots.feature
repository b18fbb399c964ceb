Feature: The slots of a brittle endpoint are leased to one instance at a time

  Scenario Outline: <what>
    Given an endpoint of 4 slots that bears <bears> rejections a second
    When instances claim: <claims>
    Then they hold <held>

    Examples: a claim is "second instance granted+wanted", with # for a rejection
      | what                                            | bears | claims                                  | held      |
      | What is wanted is leased                        | 3     | 9 a 0+2                                 | a2        |
      | No more than all slots are leased               | 0     | 9 a 0+3, 9 b 0+3                        | a3 b1     |
      | Who waits for longest is next                   | 0     | 9 a 0+4, 9.1 b 0+1, 9.2 c 0+1, 9.3 a 3+3 | a3 b1 c0  |
      | Who asks for more does not lose its turn        | 0     | 9 a 0+4, 9.1 b 0+1, 9.2 c 0+1, 9.3 b 0+3, 9.4 a 3+3 | a3 b1 c0 |
      | Nobody gets all that is free                    | 0     | 9 a 0+4, 9.1 b 0+2, 9.2 c 0+2, 9.3 a 2+2 | a2 b1 c1  |
      | A repeated claim changes nothing                | 3     | 9 a 0+2, 9.1 a 2+2                      | a2        |
      | A claim made before the last grant is no return | 3     | 9 a 0+2, 9.1 a !0+2                     | a2        |
      | Who is silent loses its slots                   | 3     | 9 a 0+4, 12 b 0+4                       | b4        |
      | What was held at the last owner stays held      | 3     | 0 a 4+4, 0.1 b 0+2                      | a4 b0     |
      | Not all is leased before all have claimed       | 3     | 0 a 0+4                                 | a2        |
      | All is leased once they have                    | 3     | 0 a 0+4, 1 a 2+4                        | a4        |
      | A rejection lets less be leased                 | 3     | 9 a 0+4, 9.1 a 3+4#                     | a3        |
      | Rejections of one burst count once              | 3     | 9 a 0+4, 9.1 a 3+4#, 9.12 a 2+4##       | a3        |
      | Some slots stay in use whatever is rejected     | 3     | 9 a 0+4, 9.2 a 0+4#, 9.4 a 0+4##, 9.6 a 0+4###, 9.8 a 0+4#### | a1 |
      | All is leased again after a while               | 3     | 9 a 0+4, 9.1 a 3+4#, 10 a 3+4#, 11 a 4+4# | a4      |
      | One more than runs at once while calls wait     | 3     | 9 a 0+6, 10.1 a 4+6, 11 a 5+6           | a5        |
      | None more where no rejection is borne           | 0     | 9 a 0+6, 10.1 a 4+6, 11.2 a 4+6         | a4        |
      | None more for a while after a rejection         | 3     | 9 a 0+6, 10.1 a 4+6, 11 a 4+6#, 14 a 4+6# | a4      |

  Scenario Outline: <instances> instances that reach no owner use half of <slots> slots
    Then their shares of <slots> slots for <instances> instances are <least> to <most> together

    Examples:
      | slots | instances | least | most |
      | 5     | 6         | 2     | 3    |
      | 24    | 6         | 11    | 13   |
      | 24    | 195       | 11    | 13   |
      | 1     | 195       | 0     | 1    |

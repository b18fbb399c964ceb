Feature: The place where a cut stream continues is that of its last event with data

  Guards against repeated events: a comment behind the last event hid its id, and the stream
  was continued from its beginning.

  Scenario Outline: After reads of <reads>
    When a stream is read as "<reads>"
    Then <place>

    Examples:
      | reads                                  | place                           |
      | nothing                                | it can be continued from the start |
      | id 1 data, id 2 data                   | it can be continued behind 2    |
      | id 1 data id 2 data                    | it can be continued behind 2    |
      | id 1 data, comment                     | it can be continued behind 1    |
      | comment                                | it can be continued from the start |
      | id 1 data, data                        | it can't be continued           |
      | data                                   | it can't be continued           |
      | id 1 data, part                        | it can be continued behind 1    |

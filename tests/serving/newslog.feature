Feature: A subscriber is sent the updates that it lacks, with limited resends

  Scenario Outline: What is sent to a subscriber that repeats the same report
    Given an owner that has sent <updates> updates
    When a subscriber that knows <known> and <lacks> reports so at <times> seconds
    Then it is sent <sent>

    Examples:
      | updates | known         | lacks         | times                 | sent                                            |
      | 0       | 0             | lacks nothing | 0                     | nothing                                         |
      | 5       | 5             | lacks nothing | 0                     | nothing                                         |
      | 5       | 3             | lacks nothing | 0 1 9                 | nothing nothing nothing                         |
      | 5       | 3             | lacks some    | 0 0.5 0.6 1.7 1.8 4.2 | changes nothing changes nothing changes changes |
      | 5       | another owner | lacks nothing | 0 0.25 0.5            | all nothing nothing                             |
      | 5       | another owner | lacks some    | 0 0.6 1.2 1.8         | all all nothing all                             |
      | 300     | 44            | lacks some    | 0                     | changes                                         |
      | 300     | 43            | lacks nothing | 0                     | all                                             |
      | 300     | 301           | lacks nothing | 0                     | all                                             |

  Scenario: A subscriber that has caught up is sent at once what it lacks later
    Given an owner that has sent 5 updates
    When a subscriber that knows 3 and lacks some reports so at 0 0.6 seconds
    And a subscriber that knows 5 and lacks nothing reports so at 0.7 seconds
    And a subscriber that knows 4 and lacks some reports so at 0.8 seconds
    Then it is sent changes

  Scenario: A resend has all changes after the known update
    Given an owner that has sent 5 updates
    Then after update 3 there are the changes of updates 4 and 5

  Scenario Outline: Changes are packed compactly
    When the changes "<changes>" are packed
    Then <count> lists are sent, with the changes "<sent>"

    Examples:
      | changes                | count | sent              |
      |                        | 0     |                   |
      | e/a=1                  | 1     | e/a=1             |
      | e/a=1 e/b=1 f/a=1      | 2     | e/a=1 e/b=1 f/a=1 |
      | e/a=1 e/a=-1           | 1     | e/a=-1            |
      | e/a=-1 e/b=2 e/a=3     | 1     | e/a=3 e/b=2       |
      | e/a=1 f/a=1 e=-1 e/b=1 | 3     | f/a=1 e=-1 e/b=1  |

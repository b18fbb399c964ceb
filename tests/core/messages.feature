Feature: Instances of two releases understand each other

  A release is rolled out over minutes. Three instances of each of two releases side by
  side dropped 282 messages in 20 seconds as malformed (KeyError, TypeError), so that
  nothing that was told of allowances arrived.

  Scenario Outline: Every message of release <release> is read, and reads what is sent
    Then each message in tests/core/messages-<release>.txt is read, what it lacks by default
    And each message in tests/core/messages-<release>.txt has as many fields as it had

    Examples:
      | release |
      | 0.8     |
      | 0.9     |

  Scenario: Fields that a later release adds are passed over
    Then each message with two further fields is read as without them

  Scenario: A message of an unknown kind is told apart from a broken one
    Then a message of the kind "zz" is unknown_message
    And a message without its fields is malformed_message

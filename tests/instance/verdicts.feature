Feature: What an instance concludes from its own few streams is taken back by their next event

  Guards against avoiding a sound engine. An engine sent nothing to the one stream that an
  instance had there for 0.9 seconds. Each check of that time counted as another failed
  connection, and the instance sent the engine no call for up to 4 seconds more, though the
  stream went on: calls for adapters that this engine alone held waited for a load elsewhere.

  Scenario: A new call uses the sole holder of its adapter once a pause has ended
    When a new call is sent 0.2 seconds after the only stream there went on
      | pause | stream                                       |
      | 0.9   | may not be sent again                        |
      | 0.9   | finds no retry budget                        |
      | 0.9   | finds no engine that loads its adapter soon  |
      | 1.3   | may not be sent again                        |
      | 1.3   | finds no retry budget                        |
      | 1.3   | finds no engine that loads its adapter soon  |
    Then the holder runs each new call, and its first event takes 0.15 seconds at most

  Scenario Outline: A silence that lasts keeps new calls away
    When 20 calls a second are sent for 5 seconds after an engine went silent for good, whose only stream <stream>
    Then none of them is sent there in the first <avoided> seconds
    And 1 at most is sent there in all

    Examples:
      | stream                                      | avoided |
      | may not be sent again                       | 5       |
      | finds no retry budget                       | 5       |
      | finds no engine that loads its adapter soon | 5       |
      | has its adapter loaded elsewhere            | 4.2     |
      | continues elsewhere                         | 0.9     |

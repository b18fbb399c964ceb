Feature: An answer that was broken off does not reach its caller as complete

  Guards against taking the end of a connection for the end of an answer. Streams with neither
  a length nor chunks whose engines ended inside an event reached their callers as complete,
  with the events before it.

  Scenario Outline: A stream whose connection ends behind <size> bytes, on a route that is not resumable
    Given 3 engines that hold an adapter, whose streams have neither a length nor chunks
    When a stream is sent to "/once/", and its engine <ends> behind <size> bytes of it
    Then its caller gets <events> events, and no complete answer
    And no call ran at two engines at once for long

    Examples: An event has 16 bytes
      | size | ends   | events |
      | 0    | closes | 0      |
      | 1    | closes | 0      |
      | 6    | closes | 0      |
      | 15   | closes | 0      |
      | 17   | closes | 1      |
      | 22   | closes | 1      |
      | 30   | closes | 1      |
      | 31   | closes | 1      |
      | 40   | closes | 2      |
      | 0    | resets | 0      |
      | 17   | resets | 1      |
      | 32   | resets | 2      |

  Scenario Outline: A stream whose connection ends behind <size> bytes, on a resumable route
    Given 3 engines that hold an adapter, whose streams have neither a length nor chunks
    When a stream is sent to "/again/", and its engine <ends> behind <size> bytes of it
    Then its caller gets 6 events, and a complete answer
    And no call ran at two engines at once for long

    Examples:
      | size | ends   |
      | 0    | closes |
      | 1    | closes |
      | 15   | closes |
      | 17   | closes |
      | 31   | closes |
      | 95   | closes |
      | 17   | resets |

  Scenario: A stream with neither a length nor chunks is complete behind its last event
    Given 3 engines that hold an adapter, whose streams have neither a length nor chunks
    When a stream is sent to "/once/", and its engine ends it
    Then its caller gets 6 events, and a complete answer

  Scenario: An engine that ends answers inside an event counts as failing
    Given the log events are recorded
    And 1 engines that hold an adapter, whose streams have neither a length nor chunks
    When 3 streams are sent, and engines close behind 20 bytes of each
    Then an engine is ejected

  Scenario: The log tells how an answer that was broken off was framed
    Given the log events are recorded
    And 3 engines that hold an adapter, whose streams have neither a length nor chunks
    When a stream is sent to "/once/", and its engine closes behind 20 bytes of it
    Then the end of the call names its framing and 4 bytes of an event

  Scenario Outline: A call that crashes engines whose answers end in order is not run forever
    Given 6 engines that hold an adapter, whose streams have neither a length nor chunks
    When a deadly stream is sent to "<route>" 12 times in 6 seconds
    Then it crashed <most> engines at most

    Examples:
      | route   | most |
      | /once/  | 3    |
      | /again/ | 3    |

  Scenario: A second send that ends inside an event does not replace the first one
    Given 3 engines that hold an adapter, whose streams have neither a length nor chunks
    When a stream's engine pauses, and all others close behind 10 bytes of it
    Then its caller gets 6 events, and a complete answer
    And no call ran at two engines at once for long

  Scenario: A kept send that ends inside an event is no success
    Given 3 engines that hold an adapter, whose streams have neither a length nor chunks
    When a stream's engine pauses, and then closes inside an event
    Then its caller gets 6 events, and a complete answer

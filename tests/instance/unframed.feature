Feature: An answer that was broken off does not reach its caller as complete

  Guards against taking the end of a connection for the end of an answer. Streams with neither
  a length nor chunks whose engines ended inside an event reached their callers as complete,
  with the events before it.

  Scenario: A stream that ends inside an event is not framed as complete
    Given 3 engines that hold an adapter, whose streams have neither a length nor chunks
    When a stream is sent to "/once/", and its engine closes behind 22 bytes of it
    Then its caller gets 1 events, and no complete answer
    And no call ran at two engines at once for long

  Scenario: A stream with neither a length nor chunks is complete behind its last event
    Given 3 engines that hold an adapter, whose streams have neither a length nor chunks
    When a stream is sent to "/once/", and its engine ends it
    Then its caller gets 6 events, and a complete answer

Feature: Answers of endpoints are parsed strictly and matched to requests

  Scenario Outline: Each framing is parsed, at once and byte by byte
    Given an endpoint and a call to it
    When it answers "<answer>" <how> and then <end>
    Then the call <result>

    Examples:
      | answer                  | how          | end      | result                                     |
      | with a length           | at once      | waits    | gets 200 "abc"                             |
      | with a length           | byte by byte | waits    | gets 200 "abc"                             |
      | in chunks               | at once      | waits    | gets 200 "abcde"                           |
      | in chunks               | byte by byte | waits    | gets 200 "abcde"                           |
      | until its close         | at once      | closes   | gets 200 "abc"                             |
      | until its close         | byte by byte | closes   | gets 200 "abc"                             |
      | until its close         | at once      | resets   | fails as connection_lost having read "abc" |
      | half of a length        | at once      | closes   | fails as connection_lost having read "ab"  |
      | half of a length        | byte by byte | resets   | fails as connection_lost having read "ab"  |
      | chunks without an end   | at once      | closes   | fails as connection_lost having read "abc" |
      | half a chunk            | byte by byte | closes   | fails as connection_lost having read "ab"  |
      | half a head             | at once      | closes   | fails as connection_lost having read ""    |
      | nothing                 | at once      | closes   | fails as connection_lost having read ""    |
      | nothing                 | at once      | resets   | fails as connection_lost having read ""    |
      | without content         | at once      | waits    | gets 204 ""                                |
      | an interim answer first | at once      | waits    | gets 200 "abc"                             |
      | an interim answer first | byte by byte | waits    | gets 200 "abc"                             |
      | two lengths             | at once      | waits    | fails as connection_lost having read ""    |
      | a length beside chunks  | at once      | waits    | fails as connection_lost having read ""    |
      | bytes that are not HTTP | at once      | waits    | fails as connection_lost having read ""    |
      | a refusal without an id | at once      | waits    | gets 503 ""                                |
      | another id and its own  | at once      | waits    | gets 200 "abc"                             |
      | another id and its own  | byte by byte | waits    | gets 200 "abc"                             |
      | another id              | at once      | closes   | fails as connection_lost having read ""    |
      | no id                   | at once      | closes   | fails as connection_lost having read ""    |

  Scenario Outline: A head that stops short at <where> is no answer, <how> and then <end>
    Given an endpoint and a call to it
    When it answers "a head that stops <where>" <how> and then <end>
    Then the call fails as connection_lost having read ""

    Examples: The connection ends in order, or is reset
      | where                          | how          | end    |
      | in the status line             | at once      | closes |
      | in the status line             | byte by byte | closes |
      | in the status line             | at once      | resets |
      | behind the status line         | at once      | closes |
      | in a header's name             | at once      | closes |
      | in a header's name             | byte by byte | closes |
      | behind a header's name         | at once      | closes |
      | in the length                  | at once      | closes |
      | in the length                  | byte by byte | closes |
      | in the length                  | at once      | resets |
      | behind a length of nothing     | at once      | closes |
      | before the last line           | at once      | closes |
      | before the last line           | byte by byte | closes |
      | behind one CR                  | at once      | closes |
      | behind one CR                  | byte by byte | closes |
      | behind one CR with a length    | at once      | closes |
      | behind an interim answer       | at once      | closes |
      | behind an interim answer       | byte by byte | closes |
      | behind an interim answer alone | at once      | closes |
      | behind another answer          | at once      | closes |

  Scenario Outline: A head that stops short on a kept connection is no answer: <where>
    Given an endpoint and a call to it
    When it answers "with a length" at once and then waits
    And another call is made there, and the endpoint answers "a head that stops <where>" and closes
    Then the other call fails as connection_lost having read ""

    Examples:
      | where                    |
      | in the status line       |
      | in the length            |
      | behind one CR            |
      | before the last line     |
      | behind an interim answer |

  Scenario Outline: A probe tells what becomes of a connection on which nothing is sent: <does>
    Given an endpoint and a probe of it
    When the endpoint <does> it
    Then the probe fails as <code>

    Examples:
      | does         | code                 |
      | closes       | connection_lost      |
      | resets       | connection_lost      |
      | writes to    | connection_lost      |
      | only holds   | request_timeout      |

  Scenario: A probe of an address where no server listens
    Given a probe of an endpoint that no longer listens
    Then the probe fails as endpoint_unreachable

  Scenario Outline: A connection is reused only after a clean answer
    Given an endpoint and a call to it
    When it answers "<answer>" at once and then waits
    And <seconds> seconds pass and another call is made
    Then the other call uses <connection> connection

    Examples:
      | answer                   | seconds | connection |
      | with a length            | 0       | the same   |
      | in chunks                | 1       | the same   |
      | with a length            | 3       | a new      |
      | with a short keep-alive  | 0       | the same   |
      | with a short keep-alive  | 1.5     | a new      |
      | and closes               | 0       | a new      |
      | with an extra answer     | 0       | a new      |
      | followed by junk         | 0       | a new      |
      | another id and its own   | 0       | a new      |
      | before the body was read | 0       | a new      |

  Scenario Outline: Input or a close between calls discards an idle connection
    Given an endpoint and a call to it
    When it answers "with a length" at once and then waits
    And the endpoint then <does>, and another call is made
    Then the other call uses a new connection

    Examples:
      | does                 |
      | closes               |
      | resets               |
      | sends a late answer  |

  Scenario Outline: A call without an answer fails after its timeout
    Given an endpoint and a call to it
    When it answers "<answer>" at once and then waits
    And <seconds> seconds pass
    Then the call <result>

    Examples:
      | answer           | seconds | result                                     |
      | nothing          | 4       | is still open                              |
      | nothing          | 6       | fails as request_timeout having read ""    |
      | half of a length | 11      | fails as request_timeout having read "ab"  |

  Scenario: No server listens at the address
    Given an endpoint that no longer listens and a call to it
    Then the call fails as endpoint_unreachable having read ""

  Scenario: Permission to send is revoked before the first byte
    Given an endpoint and a call that may not be sent
    Then the call fails as sending_revoked having read ""
    And the endpoint has received nothing

  Scenario: A cancelled call closes its connection
    Given an endpoint and a call to it
    When the call is closed
    Then the connection at the endpoint is closed

  Scenario: A paused call puts back-pressure on the endpoint
    Given an endpoint and a call to it
    When the call is paused and the endpoint writes up to 64 MiB
    Then the endpoint can write less than 16 MiB

  Scenario: A call that is read again after a pause is given time to be read
    Given an endpoint and a call to it
    When it answers "half of a length" at once and then waits
    And the call is paused
    And 5.1 seconds pass
    And 4.9 seconds pass
    And the call is read again
    And 0.2 seconds pass
    Then the call is still open

  Scenario Outline: An answer of <size> bytes is collected, of which <limit> may be kept
    Guards against a list that is cut at a limit and read as a short one.

    When an answer of <size> bytes is collected, of which <limit> may be kept
    Then the collected answer <result>

    Examples:
      | size | limit | result                   |
      | 0    | 8     | is delivered             |
      | 8    | 8     | is delivered             |
      | 9    | 8     | fails as connection_lost |

  Scenario Outline: A request is sent again while its rejection is <repeated>
    Guards against taking a late repetition of the answer to a request's first send for the
    answer to its second: its caller was told that it had not run, and it ran.

    Given an endpoint
    When a request is rejected, and is sent again while its rejection is <repeated>
    Then the second send is answered 200 by its own run
    And 2 connections were opened

    Examples:
      | repeated         |
      | repeated late    |
      | repeated at once |
      | not repeated     |

  Scenario Outline: Requests that are each rejected <rejected> times share few connections
    Guards against a connection for each send where most sends are rejected.

    Given an endpoint
    When <count> requests are each rejected <rejected> times
    Then <connections> connections were opened

    Examples:
      | count | rejected | connections |
      | 30    | 0        | 1           |
      | 30    | 1        | 2           |
      | 30    | 2        | 3           |

  Scenario Outline: A failure <named> comes on a connection that is <used>
    Guards against taking a late repetition of one request's rejection, which bears no id,
    for the answer to the next request on its connection.

    Given an endpoint
    When a request is sent on a connection that is <used>, and a failure <named> comes
    Then the request <outcome>

    Examples:
      | used | named           | outcome                     |
      | new  | without an id   | is answered 503             |
      | new  | with its id     | is answered 503             |
      | used | with its id     | is answered 503             |
      | used | without an id   | fails as answer_unidentified |
      | used | with another id | is still open               |

  Scenario: The answer to a call is repeated as an order follows on its connection
    Guards against taking it for the answer to the order, which bears no id: a copy would
    count as loaded that is not.

    Given an endpoint
    When the answer to a call is repeated as an order follows on its connection
    Then the order is answered 409 by its endpoint
    And 1 connections were opened

  Scenario Outline: An endpoint sends <what> without end
    Guards against reading on until the call's deadline. Heads without end took 2.4 GB of an
    instance's memory, and no call was sent to a sound endpoint.

    Given an endpoint and a call to it
    When it answers with <what> without end
    Then the call fails as answer_unbounded having read "<read>"
    And the endpoint has written at most <most> MiB, and sees a reset

    Examples: Of what is written, the sockets' buffers hold some MiB
      | what                             | read | most |
      | a head of many lines             |      | 8    |
      | a head of one line               |      | 8    |
      | a status line                    |      | 8    |
      | interim answers                  |      | 8    |
      | answers with another id          |      | 8    |
      | a body under another id          |      | 8    |
      | chunks under another id          |      | 8    |
      | a chunk's extension              | abc  | 8    |
      | trailers                         | abc  | 8    |

  Scenario Outline: A long but whole answer is not taken for one without end: <answer>
    Given an endpoint and a call to it
    When it answers "<answer>" at once and then waits
    Then the call gets 200 "abc"

    Examples:
      | answer                            |
      | a head of 60 KB                   |
      | another id with 900 KB and its own |
      | 40 interim answers of 2 KB first  |

  Scenario: A body without end goes on as long as it is read
    Given an endpoint and a call to it
    When it answers with a body without a length, of 16 MiB in all
    Then the call has read all of them and is still open

  Scenario Outline: A collected answer of <limit> bytes at most gets <body> without end
    Given an endpoint and a call to it that collects at most <limit> bytes
    When it answers with <body> without end
    Then the collected answer fails as answer_unbounded
    And the endpoint has written at most 8 MiB, and sees a reset

    Examples:
      | limit  | body                    |
      | 100000 | a body without a length |
      | 100000 | chunks                  |

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

  Scenario Outline: The events of a stream are forwarded once they are complete, lines ended by <ends>
    Guards against holding a stream back whole whose lines don't end by LF alone: its caller
    got an empty answer, framed as complete.

    When a stream with lines ended by <ends> is read <how>
    Then each of its events was returned by the read of its last byte, or the next
    And its bytes are returned unchanged
    And it can be continued behind 2

    Examples:
      | ends        | how          |
      | LF          | at once      |
      | LF          | byte by byte |
      | LF          | in halves    |
      | CRLF        | at once      |
      | CRLF        | byte by byte |
      | CRLF        | in halves    |
      | CR          | at once      |
      | CR          | byte by byte |
      | CR          | in halves    |
      | CRLF and LF | byte by byte |
      | LF and CR   | byte by byte |
      | LF and CR   | at once      |

  Scenario Outline: A stream's end mark is found, lines ended by <ends>
    When a stream with an end mark and lines ended by <ends> is read <how>
    Then it has ended

    Examples:
      | ends | how          |
      | LF   | at once      |
      | CRLF | byte by byte |
      | CRLF | at once      |
      | CR   | byte by byte |

  Scenario Outline: A stream that ends as "<stream>" leaves <size> bytes of an event
    When a stream ends as "<stream>"
    Then it leaves <size> bytes of an event

    Examples: Escapes are those of Python
      | stream                            | size |
      |                                   | 0    |
      | id: 1\ndata: a\n\n                | 0    |
      | id: 1\ndata: a\n                  | 14   |
      | id: 1\ndata: a                    | 13   |
      | id: 1\ndata: a\n\ni               | 1    |
      | id: 1\ndata: a\n\nid: 2\n         | 6    |
      | id: 1\ndata: a\n\nid: 2\n\n       | 0    |
      | id: 1\ndata: a\n\n\n              | 0    |
      | id: 1\ndata: a\n\n\r\n            | 0    |
      | id: 1\ndata: a\n\n: ping          | 0    |
      | id: 1\ndata: a\n\n: ping\n        | 0    |
      | id: 1\ndata: a\n\n: ping\ndata: b | 14   |
      | id: 1\r\ndata: a\r\n              | 16   |
      | id: 1\r\ndata: a\r\n\r            | 0    |
      | id: 1\rdata: a\r\r\r              | 0    |
      | \xef\xbb\xbf                      | 0    |
      | \xef\xbb\xbf: ping                | 0    |
      | \xef\xbb\xbfdata: a               | 10   |

  Scenario Outline: An event that is too long to be held ends as <end>
    Guards against continuing a stream in the middle of an event that its caller has a part of.

    When an event that is too long to be held is read, and then "<end>"
    Then it leaves <partial> event
    And <place>

    Examples: Escapes are those of Python; "/" is between two reads
      | end                             | partial | place                         |
      | a                               | a part of an | it can't be continued         |
      | a\n                             | a part of an | it can't be continued         |
      | a\n/\n                          | no      | it can't be continued         |
      | a\r/\n\r/\n                     | no      | it can't be continued         |
      | a\n\n                           | no      | it can't be continued         |
      | a\n\n/id: 2\ndata: b\n\n        | no      | it can be continued behind 2  |
      | a\n\n/data: b\n\n               | no      | it can't be continued         |
      | a\n/id: 1\n\nid: 2\ndata: b\n\n | no      | it can be continued behind 2  |

Feature: A draining instance ends when no caller is owed anything, and not later

  Background:
    Given an installation with instances a and b in zone z1 and c in zone z2
    And engines e1 and e2 in z1 and e3 in z2, and plain endpoints p1 in z1 and p2 in z2

  Scenario Outline: Uploads of 1 second, one after the other, go on as an instance ends: <how>
    Guards against a process that ends while connections still read requests, which it then
    passes on and cuts.

    Given plain endpoints that run calls for 0.09 seconds
    When 8 callers of a upload requests <how>, one after the other, and it drains
    Then each request that was run was answered
    And no request was run and answered as not run
    And a ended within 6 seconds of its SIGTERM

    Examples:
      | how           |
      | with a length |
      | in chunks     |

  Scenario Outline: A caller <does> as its instance drains
    Guards against ending too early for what a caller is owed, and too late for what it is not.

    Given plain endpoints that answer with 400000 bytes after 0.5 seconds
    When a drains, and 2.4 seconds later a caller <does>
    Then the caller gets "<answers>"
    And a ended between <least> and <most> seconds after its SIGTERM

    Examples:
      | does                                          | answers  | least | most |
      | has an idle connection                        |          | 2.8   | 3.1  |
      | sends a request on a new connection           | 200      | 2.8   | 4.0  |
      | does not close behind its last answer         | 200      | 3.8   | 4.4  |
      | uploads for 2 seconds                         | 200      | 4.4   | 5.6  |
      | uploads in chunks for 2 seconds               | 200      | 4.4   | 5.6  |
      | uploads for 6 seconds                         | 503      | 2.8   | 4.5  |
      | sends a byte a second of a body               | 503      | 2.8   | 4.5  |
      | sends a byte a second of chunks               | 503      | 2.8   | 6.5  |
      | sends a byte a second of a head               | 503      | 2.8   | 6.5  |
      | stops in the middle of a body                 | 503      | 2.8   | 4.9  |
      | sends a head and, a second later, its body    | 200      | 3.3   | 4.9  |
      | reads its answer at 400000 bytes a second     | 200      | 3.8   | 5.0  |
      | pipelines three requests                      | 200, 200, 200 | 2.8 | 4.5 |
      | pipelines an upload of 2 seconds and a request | 200, 200 | 4.3  | 5.9  |

  Scenario Outline: A caller <does>, and the drain reaches its limit
    Guards against connections that end without a word: what can't be finished is answered.

    When a drains, and 2.4 seconds later a caller <does>
    Then the caller gets "<answers>"
    And a ended between 7.5 and 7.8 seconds after its SIGTERM

    Examples:
      | does                                              | answers |
      | uploads for 4.2 seconds what no endpoint answers  | 502     |
      | sends a stream that no engine answers             | 502     |

  Scenario: A stream that has begun is cut as the drain reaches its limit
    When a drains, and 2.4 seconds later a caller sends a stream that stalls
    Then the caller's answer is cut, and doesn't look complete
    And a ended between 7.5 and 7.8 seconds after its SIGTERM

  Scenario Outline: A caller <does> as a configuration <change> comes into force
    Guards against ending what a connection has begun with the configuration that it began in.

    Given plain endpoints that answer with 400000 bytes after 0.5 seconds
    When a caller <does>, and 0.3 seconds later a configuration <change> comes into force
    Then the caller gets "<answers>" on a connection that stays open

    Examples:
      | does                                      | change                             | answers |
      | uploads for 2 seconds                     | without its route                  | 404     |
      | uploads for 2 seconds                     | with an idle timeout of 1 second   | 200     |
      | sends a request on a new connection       | without its route                  | 200     |
      | reads its answer at 400000 bytes a second | without its route                  | 200     |
      | reads its answer at 400000 bytes a second | with an idle timeout of 1 second   | 200     |

Feature: Instances serve the routes of a platform

  Background:
    Given an installation with instances a and b in zone z1 and c in zone z2
    And engines e1 and e2 in z1 and e3 in z2, and plain endpoints p1 in z1 and p2 in z2

  Scenario Outline: Each kind of call is served
    When <call> is sent to a
    Then it gets 200 within <seconds> seconds
    And one endpoint has run it once, as it was sent

    Examples:
      | call                     | seconds |
      | an idempotent call       | 0.1     |
      | a call to run once       | 0.1     |
      | a stream                 | 0.2     |
      | a stream of an adapter   | 0.6     |
      | a resumable stream       | 0.2     |

  Scenario: A stream is forwarded in complete events, with the answer's headers
    When a stream is sent to a
    Then it gets 200 within 0.2 seconds
    And its body is the events 0, 1 and 2
    And its stamp is that of the endpoint

  Scenario: An adapter that was loaded once is available to all instances
    When a stream of an adapter is sent to a
    And 1 second passes
    And a stream of an adapter is sent to c
    Then it gets 200 within 0.2 seconds
    And 1 load was ordered

  Scenario: More adapters than slots are served, and no engine exceeds its slots
    When streams of 9 adapters are sent to b, one each 0.7 seconds
    Then all get 200
    And no engine has crashed

  Scenario Outline: Faults of endpoints are retried where the call permits it
    Given <endpoints> <fault> next
    When <call> is sent to a
    Then it gets <answer> within <seconds> seconds
    And it has run <runs> times

    Examples:
      | endpoints       | fault                       | call               | answer | seconds | runs |
      | plain endpoints | refuse once                 | a call to run once | 200    | 0.2     | 1    |
      | plain endpoints | refuse thrice               | a call to run once | 200    | 0.3     | 1    |
      | plain endpoints | fail once                   | an idempotent call | 200    | 0.2     | 1    |
      | plain endpoints | fail once                   | a call to run once | 500    | 0.1     | 0    |
      | plain endpoints | lose an answer              | an idempotent call | 200    | 0.2     | 2    |
      | plain endpoints | lose an answer              | a call to run once | 502    | 0.1     | 1    |
      | plain endpoints | answer 503 without not-run  | a call to run once | 502    | 0.1     | 0    |
      | plain endpoints | answer 200 without a stamp  | a call to run once | 502    | 0.1     | 0    |
      | plain endpoints | never answer                | a call to run once | 504    | 2.1     | 1    |
      | engines         | cut a stream                | a resumable stream | 200    | 0.4     | 2    |
      | engines         | refuse once                 | a stream           | 200    | 0.3     | 1    |

  Scenario Outline: The sends of one call use no connection twice: <endpoints> <fault>
    Guards against a late repetition of the answer to a call's first send, which would be
    taken for the answer to another send of it.

    Given <endpoints> <fault> next
    When <call> is sent to a and its sends are recorded
    Then it gets 200 within 0.6 seconds
    And its sends exclude each other's connections, and no other call's

    Examples:
      | endpoints       | fault         | call               |
      | plain endpoints | refuse thrice | a call to run once |
      | plain endpoints | refuse once   | an idempotent call |
      | engines         | refuse once   | a stream           |
      | engines         | cut a stream  | a resumable stream |

  Scenario Outline: Each engine answers <count> orders that it does not carry out
    Guards against trust in the answer to an order, which bears no id and may be a late
    repetition: an engine that is ordered to load more than it has places for crashes.

    Given each engine answers <count> orders as done without carrying them out
    When streams of 12 adapters are sent to a, 1 seconds apart
    Then <least> of them are served, and no engine holds more than it has places for

    Examples:
      | count | least |
      | 0     | 12    |
      | 1     | 9     |
      | 3     | 6     |

  Scenario: A resumed stream has each event once
    Given engines cut a stream next
    When a resumable stream is sent to a
    Then it gets 200 within 0.4 seconds
    And its body is the events 0, 1 and 2

  Scenario: A stalled stream is resumed at another engine
    Given engines stall a stream next
    When a resumable stream is sent to a
    And 1.2 seconds pass
    Then it gets 200 within 0.1 seconds
    And its body is the events 0, 1 and 2

  Scenario: A cut stream that may not be resumed is cut for its caller too
    Given engines cut a stream next
    When a stream is sent to a
    And 1 second passes
    Then its answer is cut short

  Scenario Outline: Calls that can't be served are refused at once
    Given <state>
    When <call> is sent to a
    Then it gets <answer> within <seconds> seconds
    And it has <header>

    Examples:
      | state                           | call                   | answer | seconds | header                |
      | nothing special                 | a call without a route | 404    | 0.01    | no Retry-After header |
      | nothing special                 | a call without an id   | 400    | 0.01    | no Retry-After header |
      | all plain endpoints are gone    | an idempotent call     | 503    | 0.01    | a Retry-After header  |
      | all endpoints reject many calls | a call to run once     | 503    | 0.5     | a Retry-After header  |

  Scenario: An instance without a configuration refuses calls and is not ready
    Given an instance d that can't reach the store
    When an idempotent call is sent to d
    Then it gets 503 within 0.01 seconds
    And d is not ready

  Scenario: An internal error of an instance leaves no running call
    Given the endpoint selection of a raises an error
    When an idempotent call is sent to a
    Then it gets 500 within 0.01 seconds
    And a has no running call

  Scenario: The run of a caller that disconnects is cancelled
    Given plain endpoints never answer next
    When an idempotent call is sent to a
    And its caller disconnects
    Then the run is cancelled within 0.05 seconds

  Scenario: A call ends at its own time limit
    Given plain endpoints never answer next
    When an idempotent call with 300 ms is sent to a
    Then it gets 504 within 0.31 seconds

  Scenario: The remaining time is forwarded to the endpoint
    When an idempotent call with 300 ms is sent to a
    Then it gets 200 within 0.1 seconds
    And the endpoint was given at most 300 ms

  Scenario: Headers that callers may not set are not forwarded
    When an idempotent call with the headers of the system is sent to a
    Then it gets 200 within 0.1 seconds
    And the endpoint has seen none of them

  Scenario: A new version of an adapter is used
    When a stream of an adapter is sent to a
    And 1 second passes
    And version 2 of the adapter is declared
    And 1 second passes
    And a stream of an adapter is sent to b
    Then it gets 200 within 0.6 seconds
    And it has run on version 2

  Scenario: A configuration applies at once, and is never replaced by an older one
    When the route of idempotent calls is moved to the engines' zone
    And an idempotent call is sent to a 0.1 seconds later
    Then it gets 404 within 0.01 seconds
    When the operator's row shows the old configuration again
    And an idempotent call is sent to a 0.1 seconds later
    Then it gets 404 within 0.01 seconds

  Scenario: An endpoint that drains gets no call after the next read
    When p1 drains and 0.75 seconds pass
    And 20 idempotent calls are sent to a
    Then all get 200
    And p1 has run none of them

  Scenario: An entry that one answer lists as changed and deleted is removed
    When p1 renews its entry, the entry is deleted, and 0.75 seconds pass
    And 20 idempotent calls are sent to a
    Then all get 200
    And p1 has run none of them

  Scenario: Entries that expired in an outage are kept until they can be renewed
    When the store is down for 3 seconds and the entries of p1 and p2 expire
    And an idempotent call is sent to a
    Then it gets 200 within 0.1 seconds
    When 3 seconds pass
    And an idempotent call is sent to a
    Then it gets 503 within 0.01 seconds

  Scenario: An owner reads the store for the instances of its zone
    When 5 seconds pass
    Then the instance of z1 that owns nothing has called the store once at most since

  Scenario: An instance that receives liveness signals does not try to acquire leases
    The row of a lease is not read while liveness signals of its holder arrive. The
    age of the row was mistaken for the holder's inactivity: with 79 instances, each
    tried to acquire all three leases of live holders, failed, and read all rows
    again.

    When 1 second passes
    And nothing happens
    Then the instance of z1 that owns nothing does not request a lease for 20 seconds

  Scenario Outline: An instance that does not read the store is notified of a drain in time
    When 5 seconds pass
    And <trouble>
    And p1 drains and 1.9 seconds pass
    And 20 idempotent calls are sent to the instance of z1 that owns nothing
    Then all get 200
    And p1 has run none of them

    Examples:
      | trouble                               |
      | nothing happens                       |
      | the owner of z1 dies                  |
      | the owner of z1 is cut from the store |
      | the owner of z1 leaves                |

  Scenario: An owner's old list does not replace a newer one
    When 5 seconds pass
    And the owner of z1 is cut from the store
    And p1 drains and 1.9 seconds pass
    And the instance of z1 that owns nothing restarts
    And 1 second passes
    And 20 idempotent calls are sent to the instance of z1 that owns nothing
    Then all get 200
    And p1 has run none of them

  Scenario: An entry that an owner keeps for a grace period is not restored elsewhere
    An owner that could not read the store keeps entries that expired in the meantime
    for a grace period, as they may be renewed. It forwarded them as if it had read
    them, so that an instance that had removed p1 added it again and sent it calls.

    When 5 seconds pass
    And the owner of z1 is cut from the store
    And the entry of p1 is deleted and 3 seconds pass
    And the owner of z1 reaches the store again
    And 1.2 seconds pass
    And the instance of z1 that owns nothing restarts
    And 1 second passes
    And 20 idempotent calls are sent to the instance of z1 that owns nothing
    Then all get 200
    And p1 has run none of them

  Scenario Outline: An instance that does not read the store receives a new configuration
    When 5 seconds pass
    And <trouble>
    And a route is added and 1.9 seconds pass
    And a call of the added route is sent to the instance of z1 that owns nothing
    Then it gets 200 within 0.1 seconds

    Examples:
      | trouble                               |
      | nothing happens                       |
      | the owner of z1 dies                  |
      | the owner of z1 is cut from the store |

  Scenario Outline: A configuration written just before an outage is known soon after it
    A read that waits at the store may hang on a connection that died in an outage.
    This was noticed 3.7 s later: the configuration was acknowledged 0.2 s before an
    outage of 8 s, and at 29.164 s, 3.2 s after the store's return, an instance still
    answered 404 for one of its routes.

    When 5 seconds pass
    And a route is added as the store goes down for 8 seconds, and <lost> reads get no answer after it
    And 2.8 seconds pass
    And a call of the added route is sent to each instance
    Then all get 200

    Examples:
      | lost |
      | 0    |
      | 3    |

  Scenario Outline: A connection to the store that hangs is replaced in time
    When <before> seconds pass
    And waiting reads at the store are dropped, and a route is added
    And 2.8 seconds pass
    And a call of the added route is sent to each instance
    Then all get 200

    Examples:
      | before |
      | 5      |
      | 5.5    |
      | 6      |
      | 6.5    |
      | 7      |
      | 7.5    |

  Scenario: The whole table is read again if its history is gone
    When the store drops its history while the entry of p1 is deleted
    And 2 seconds pass
    And 20 idempotent calls are sent to a
    Then all get 200
    And p1 has run none of them

  Scenario: Another instance becomes the owner once a dead owner's lease has expired
    When a stream of an adapter is sent to a
    And 1 second passes
    And the owner of z1 dies
    And streams of 8 adapters are sent to the other instance of z1, one each 2 seconds
    Then all get 200
    And no two instances alternate in sending orders to an engine
    And fencing numbers grow with each new owner

  Scenario: An owner that loses the store sends no order after its lease
    When a stream of an adapter is sent to a
    And 1 second passes
    And the owner of z1 is cut from the store
    And streams of 8 adapters are sent to c, one each 2 seconds
    Then all get 200
    And no two instances alternate in sending orders to an engine
    And fencing numbers grow with each new owner

  Scenario Outline: Orders without an answer delay no load for long
    Given the next <orders> orders to each engine get no answer
    When streams of 8 adapters are sent to c, one each 2 seconds
    Then all get 200
    And no engine was ordered over its slots

    Examples:
      | orders |
      | 1      |
      | 2      |
      | 3      |

  Scenario: A call whose adapter is not loaded in time gets a Retry-After header
    Given engines take 9 seconds to load an adapter
    When a stream of an adapter is sent to a
    Then it gets 503 within 1 seconds
    And it has a Retry-After header

  Scenario: An instance that restarts owns its zone again at once
    When a stream of an adapter is sent to a
    And 1 second passes
    And the owner of z1 restarts
    And 2 seconds pass
    Then z1 has an owner that may give orders
    When streams of 8 adapters are sent to c, one each 2 seconds
    Then all get 200
    And fencing numbers grow with each new owner

  Scenario: An owner with a slow link releases the lease to one with a fast link
    When both instances of z1 die
    And 12 seconds pass
    Given an instance d in z1 with a link of 10 Mbit/s
    When 3 seconds pass
    Then d owns z1
    Given an instance e in z1 with a link of 200 Mbit/s
    When 4 seconds pass
    Then e owns z1
    When 15 seconds pass
    Then e owns z1

  Scenario: An owner that drains is replaced within 0.8 seconds
    When a stream of an adapter is sent to a
    And 1 second passes
    And the owner of z1 leaves
    And 0.8 seconds pass
    Then z1 has an owner that may give orders
    When streams of 8 adapters are sent to the other instance of z1, one each 2 seconds
    Then all get 200
    And no two instances alternate in sending orders to an engine
    And fencing numbers grow with each new owner

  Scenario: An owner outside the zone releases the lease to the zone
    When both instances of z1 die
    And 12 seconds pass
    Then c owns z1
    When an instance d is started in z1
    And 3 seconds pass
    Then d owns z1
    When 15 seconds pass
    Then d owns z1

  Scenario Outline: A zone's lease goes to an instance with a fast link
    Given an instance d in z1 with a link of <first> Mbit/s, and e with one of <second>
    When both instances of z1 die
    And 12 seconds pass
    Then <owner> owns z1

    Examples:
      | first | second | owner |
      | 10    | 200    | e     |
      | 200   | 10     | d     |
      | 10    | 10     | d     |

  Scenario: No lease is granted to an instance that can't reach the store
    When both instances of z1 die
    And 12 seconds pass
    Given an instance d that can't reach the store
    When 15 seconds pass
    Then c owns z1

  Scenario: A lease is kept if the answer to its write is lost
    Given the store loses the next answer to a write
    When 8 seconds pass
    And a stream of an adapter is sent to a
    Then it gets 200 within 0.6 seconds

  Scenario: A draining instance serves its connections, then ends
    When a starts to drain
    Then a is not ready
    When an idempotent call is sent to a
    Then it gets 200 within 0.1 seconds
    When 4 seconds pass
    Then a has drained

  Scenario: An instance that has drained for 3 seconds starts no stream
    When a stream of an adapter is sent to a
    Then it gets 200 within 0.6 seconds
    When a starts to drain
    And 2.7 seconds pass
    And a stream of an adapter is sent to a
    Then it gets 200 within 0.1 seconds
    When 0.1 seconds pass
    And a stream of an adapter is sent to a
    Then it gets 503 within 0.01 seconds
    When an idempotent call is sent to a
    Then it gets 200 within 0.1 seconds

  Scenario: An engine without its base model is ordered to load it
    Given an engine e4 in z1 without its base model
    When 3 seconds pass
    Then e4 was ordered to load its base model

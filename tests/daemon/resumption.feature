Feature: A begun stream ends whole while its engine can still continue it

  A stream that was cut was resumed eight times within milliseconds; an engine that
  refused it for a moment got all of them in that moment, and the caller's answer was cut
  with half a minute left.

  Scenario Outline: A stream whose resumption meets <refusal> for <span> s ends whole
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When a stream of 6 events is cut behind 2, and its resumption meets <refusal> for <span> s
    And 3 s pass
    Then each stream is whole, with each event once, and ran once
    And it was resumed at most <most> times

    Examples:
      | refusal | span | most |
      | 503     | 0.5  | 6    |
      | 503     | 5    | 11   |
      | 429     | 5    | 11   |
      | 500     | 5    | 11   |
      | no way  | 5    | 11   |
      | a loss  | 5    | 11   |
      | 503     | 28   | 34   |

  Scenario Outline: A stream that is cut <times> times ends whole
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When a stream of 30 events is cut <times> times, each behind one more event
    And 10 s pass
    Then each stream is whole, with each event once, and ran once

    Examples:
      | times |
      | 3     |
      | 20    |

  Scenario Outline: A stream that <engine> can't continue ends with an error at once
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When a stream of 6 events is cut at <engine>
    And 0.2 s pass
    Then its caller is told stream_cut
    And no call runs under a pin

    Examples:
      | engine                      |
      | an engine that ended        |
      | an engine that restarted    |
      | an engine that answers 410  |
      | an engine that answers 404  |
      | an engine without a way on  |

  Scenario Outline: A begun stream with a key that <engine> can't continue is not run again
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When a stream of 6 events with a key is cut at <engine>
    And 5 s pass
    And the stream with the key is asked for again
    And 5 s pass
    Then its caller is told idempotency_in_progress
    And its engine ran it once

    Examples:
      | engine                      |
      | an engine that ended        |
      | an engine that restarted    |
      | an engine that answers 410  |
      | an engine without a way on  |

  Scenario: A resumption that is refused for good ends with an error in time
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When a stream of 6 events is cut behind 2, and its resumption meets 503 for 31 s
    Then its caller is told stream_cut
    And no call runs under a pin

  Scenario: A caller that goes away ends the wait for a resumption
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When a stream of 6 events is cut behind 2, and its resumption meets 503 for 2 s
    But its caller goes away meanwhile
    Then it is resumed no more
    And no call runs under a pin

  Scenario Outline: A stream whose connection is lost behind its end mark is whole
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When a stream of 6 events loses its connection behind its end mark at an engine that <can> resume
    And 1 s pass
    Then each stream is whole, with each event once, and ran once

    Examples:
      | can    |
      | can    |
      | cannot |

  Scenario Outline: An engine that asks for rest as it refuses a resumption gets it
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When <count> streams of 6 events are cut, and the engine answers <status> and wants 4 s of rest
    And 9 s pass
    Then each stream is whole, with each event once, and ran once
    And the engine got at most <most> resumptions within the rest

    Examples:
      | count | status | most |
      | 1     | 429    | 1    |
      | 1     | 503    | 1    |
      | 4     | 429    | 4    |

  Scenario: A stream whose engine wants more rest than there is time ends with an error
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When 1 streams of 6 events are cut, and the engine answers 429 and wants 60 s of rest
    Then its caller is told stream_cut
    And the engine got at most 1 resumptions within the rest
    And no call runs under a pin

  Scenario Outline: A stream with a key whose caller <how> and goes away is kept for it
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When a stream of 6 events with a key has a caller that <how> and goes away
    And 2 s pass
    Then no call runs under a pin
    When the stream with the key is asked for again
    And 1 s pass
    Then its caller has each event once
    And its engine ran it once

    Examples:
      | how                     |
      | reads                   |
      | has stopped to read     |

  Scenario: A stream that its engine does not know says nothing about the adapter there
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When two streams of 6 events run and one of them is refused with 404
    Then its caller is told stream_cut
    And the adapter's pin is used by further calls

  Scenario Outline: An instance that leaves cuts no answer that <state>
    Given a deployment of 1 zone with 2 instances and 2 fencing engines
    When an instance leaves while a stream of 30 events <state>
    And 15 s pass
    Then each stream is whole, with each event once

    Examples:
      | state                               |
      | waits for its adapter               |
      | brings events                       |
      | waits for its resumption            |
      | is lost with its engine's first run |

  Scenario Outline: An engine that is silent for <span> s <moment> keeps its runs
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When 3 streams of 6 events meet a silence of <span> s <moment>
    And 2 s pass
    Then each stream is whole, with each event once, and ran once
    And none was resumed

    Examples:
      | span | moment                   |
      | 0.7  | behind their first event |
      | 60   | behind their first event |
      | 60   | before their first event |

  Scenario: A cut stream is resumed though no retry is left
    Given a deployment of 1 zone with 1 instances and 1 fencing engine
    When no retry is left
    And a stream of 6 events is cut behind 2, and its resumption meets 503 for 2 s
    And 3 s pass
    Then each stream is whole, with each event once, and ran once

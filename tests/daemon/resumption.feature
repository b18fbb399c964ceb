Feature: A begun stream ends whole while its engine can still continue it

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

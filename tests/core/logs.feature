Feature: Logs are bounded JSON lines and never block

  Scenario: An event is one JSON object on one line
    Given logs into a pipe
    When the event "lease_gained" with zone "z1" is logged and flushed
    Then one line is read with event "lease_gained", zone "z1", and the common fields

  Scenario: A message is one JSON object
    Given logs into a pipe
    When the message "Callers are served." is logged and flushed
    Then one line is read with the message "[part] Callers are served."

  Scenario: A stalled reader loses lines and receives their number
    Given logs into a pipe
    When 20000 events are logged and flushed without a reader
    Then logging has not blocked, and at most 262144 bytes are buffered
    When the pipe is read and flushed until it is empty
    Then the last line says how many were dropped, and none is truncated

  Scenario: A field that can't be formatted does not fail its request
    Given logs into a pipe
    When an event with a field that can't be formatted is logged
    Then its line is either written or counted as dropped

  Scenario: A closed standard output does not end the process
    Given logs into a pipe
    When the reader closes and 100 events are logged and flushed
    Then 100 lines are counted as dropped

Feature: Logs are lines of JSON, bounded, and hold nothing up

  Scenario: An event is one object on one line
    Given logs into a pipe
    When the event "lease_gained" with zone "z1" is logged and flushed
    Then one line is read with event "lease_gained", zone "z1", and what all lines have

  Scenario: A sentence is one object too
    Given logs into a pipe
    When the sentence "Callers are served." is logged and flushed
    Then one line is read with the message "[part] Callers are served."

  Scenario: A reader that stands still loses lines, and is told how many
    Given logs into a pipe
    When 20000 events are logged and flushed without a reader
    Then logging has not blocked, and at most 262144 bytes are held
    When the pipe is read and flushed until it is empty
    Then the last line tells how many were dropped, and none is broken

  Scenario: A field that can't be written does not end its request
    Given logs into a pipe
    When an event with a field that can't be written is logged
    Then its line is written all the same, or counted as dropped

  Scenario: A standard output that is gone does not end the process
    Given logs into a pipe
    When the reader closes and 100 events are logged and flushed
    Then 100 lines are counted as dropped

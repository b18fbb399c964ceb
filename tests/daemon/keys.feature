Feature: Calls with an idempotency key, on a paused clock

  Scenario Outline: A caller that goes away, and comes back with its key
    Given a deployment of 1 zone with 2 instances and 1 fencing engine
    When a call with a key loses its caller <moment>
    And 5 s pass
    And the call is sent again at another instance
    Then it is answered and the engine ran it once

    Examples:
      | moment             |
      | amid the claim     |
      | amid the load      |
      | amid the run       |
      | after the answer   |

  Scenario Outline: What is held for a call with a key whose caller left <moment>
    Guards against bodies that nobody accounts for, as their connections are closed.

    Given a deployment of 1 zone with 2 instances and 1 fencing engine
    When a call with a key loses its caller <moment>
    Then bytes are held for callers at its instance: <held>
    When the call has had time to end
    Then bytes are held for callers at its instance: no

    Examples:
      | moment           | held |
      | amid the run     | yes  |
      | after the answer | no   |

  Scenario Outline: A call that ran once is not told "not run" by a later try
    Given a deployment of 1 zone with 1 instances and 1 <kind> engine
    When a call without a key meets a restart amid its run and then no load ends
    And 45 s pass
    Then the engine ran it once and it is told <told>, <outcome>

    Examples:
      | kind    | told            | outcome |
      | fencing | connection_lost | unknown |
      | plain   | connection_lost | unknown |

  Scenario Outline: A fault amid a call with a key never runs it twice
    Given a deployment of 1 zone with 2 instances and 1 <kind> engine
    When a call with a key meets <fault>
    And 10 s pass
    And the call is sent again at another instance
    Then the engine ran it at most once and it is told <told>

    Examples:
      | kind    | fault                                 | told                    |
      | fencing | a platform that is away               | answered                |
      | fencing | a platform that goes away amid it     | answered                |
      | fencing | an engine that restarts amid it       | idempotency_in_progress |
      | fencing | an instance that is killed amid it    | idempotency_in_progress |
      | plain   | a lost reply to its claim             | answered                |
      | plain   | a lost reply to its answer's write    | answered                |

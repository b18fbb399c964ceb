Feature: A request that must not be repeated runs at most once

  Scenario Outline: An attempt gets a safe outcome whatever fails in its store calls
    Given a key at a store whose calls meet "<script>"
    When an attempt claims the key
    Then the outcome of the claim is <first>
    When the delayed writes take effect and 5 s pass
    And another attempt claims the key
    Then the outcome of the claim is <second>

    Examples:
      | script               | first                   | second                  |
      | ok                   | claimed                 | idempotency_in_progress |
      | lost ok              | claimed                 | idempotency_in_progress |
      | down ok              | idempotency_unavailable | claimed                 |
      | down down            | idempotency_unavailable | claimed                 |
      | lost down            | idempotency_unavailable | claimed                 |
      | lost down down       | idempotency_unavailable | claimed                 |
      | late ok              | idempotency_unavailable | claimed                 |
      | late down            | idempotency_unavailable | claimed                 |
      | late down down lost  | idempotency_unavailable | claimed                 |

  Scenario Outline: The state of a claim decides the outcome of a repeat
    Given a key that was claimed and then <state>
    When another attempt claims the key
    Then the outcome of the claim is <outcome>

    Examples:
      | state                             | outcome                 |
      | left unconfirmed                  | idempotency_in_progress |
      | released as not run               | claimed                 |
      | released with a lost reply        | claimed                 |
      | answered                          | answered                |
      | answered with a long body         | answered                |
      | answered with a lost reply        | answered                |
      | answered while the store was down | answered                |

  Scenario: A key that belongs to another request is refused
    Given a key that was claimed and then answered
    When another attempt claims the key for another request
    Then the outcome of the claim is idempotency_mismatch

  Scenario: Of many concurrent attempts one claims the key
    Given a key at a store whose calls meet "ok"
    When 5 attempts claim the key at the same moment
    Then exactly one has the outcome claimed and the others idempotency_in_progress

  Scenario: Keys of organisations do not collide
    Then the rows of one key for two organisations differ

  Scenario Outline: A claim and its answer cost few store calls
    Given a key that was claimed and then answered
    Then it took <reads> reads and <writes> writes

    Examples:
      | reads | writes |
      | 0     | 2      |

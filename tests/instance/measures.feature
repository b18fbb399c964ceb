Feature: Metrics are served as text at a separate address

  Background:
    Given an installation with instances a and b in zone z1 and c in zone z2
    And engines e1 and e2 in z1 and e3 in z2, and plain endpoints p1 in z1 and p2 in z2

  Scenario Outline: What happens is counted
    Given <trouble>
    When <call> is sent to a
    And 2 seconds pass
    Then the metrics of a contain "<sample>"

    Examples:
      | trouble                        | call                     | sample                                                             |
      | nothing special                | an idempotent call       | roadlift_calls_total{late="no",outcome="served",service="plain"} 1 |
      | nothing special                | an idempotent call       | roadlift_first_seconds_count{service="plain"} 1                    |
      | nothing special                | an idempotent call       | roadlift_running_calls 0                                           |
      | nothing special                | an idempotent call       | roadlift_configuration_version 2                                   |
      | nothing special                | a stream of an adapter   | roadlift_wait_seconds_count{service="llm"} 1                       |
      | nothing special                | a call without a route   | roadlift_refusals_total{error="no_route"} 1                        |
      | plain endpoints refuse once next | an idempotent call     | roadlift_failed_sends_total{error="refused_by_endpoint",given_up="no",service="plain"} 1 |
      | all plain endpoints are gone   | an idempotent call       | roadlift_calls_total{late="yes",outcome="refused",service="plain"} 1 |

  Scenario Outline: The costs of the control plane are counted
    When 12 seconds pass
    Then the metrics of the instance of z1 that owns nothing have a sample of "<sample>"

    Examples:
      | sample                                                          |
      | roadlift_messages_total{direction="in",message="Digest"}        |
      | roadlift_message_bytes_total{direction="in",message="Digest"}   |
      | roadlift_store_calls_total{action="read",table="servers"}       |

  Scenario: The adapters that served calls are logged, each once a line
    Given the log events are recorded
    When 3 streams of an adapter are sent to a, and 12 seconds pass
    Then one line of adapters_served has models "base/x"

  Scenario: Each zone's lease has one holder
    Then the instances together hold 2 leases by their metrics

  Scenario Outline: The address serves only the metrics
    When <target> is requested at the metrics address
    Then the answer is <status>

    Examples:
      | target       | status |
      | /metrics     | 200    |
      | /metrics?a=b | 200    |
      | /            | 404    |

  Scenario: A metrics address that is in use does not delay calls
    Given a socket that listens at an address
    When an instance d starts whose metrics have that address
    And an idempotent call is sent to d
    Then it gets 200 within 0.1 seconds

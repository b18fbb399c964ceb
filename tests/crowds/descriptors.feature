Feature: Connections that take all descriptors do not keep ordinary callers out

  Scenario Outline: 900 silent connections to <where> of the interface <interface>
    Guards against an instance that can't accept, send to runners or ask the store for as
    long as others keep its descriptors, and whose accepting loop fills the log meanwhile.

    Given an instance of <interface> on a machine of 200 MB and 600 descriptors
    When 900 clients send nothing to <where> and stay
    Then an ordinary caller is served
    And the readiness address answers
    When the crowd leaves
    Then an ordinary caller is served
    And the process lives and has had fewer than 600 descriptors
    And its log has less than 1 MB

    Examples:
      | interface | where         |
      | routes    | the front     |
      | routes    | the readiness |
      | routes    | the metrics   |
      | openai    | the front     |

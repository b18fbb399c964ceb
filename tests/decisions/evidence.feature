Feature: What is known of an engine does not shrink as the fleet grows

  Guards against judging a shared engine by the few calls that one instance of many has seen.
  An engine that failed all its calls was soon ejected where one instance sent them; 195
  instances with as many calls in all went on to send them there.

  Scenario Outline: An engine that fails all its calls is ejected as soon, whoever sends them
    Given <instances> instances and 37 engines, of which one fails all its calls
    When they send 480 calls a second in all for 10 seconds
    Then at most <most> calls fail

    Examples:
      | instances | most |
      | 1         | 30   |
      | 7         | 60   |
      | 195       | 60   |

Feature: The retries of all instances stay within the rule in every window

  Guards against sending more retries than a service's rule allows in some window. Each
  instance knows its own calls and the number of instances. When all of them had spent their
  shares late in a part of their window, they got them back up to that part's length too soon.

  Scenario Outline: All instances send again whatever they may, from one moment on
    Given <instances> instances that share <slack> retries, and <ratio> for each request, in 10 s
    When each gets <rate> calls a second that <then> at a moment, and from then on wants to retry
    Then in no window of 10 s are there more retries than the rule allows, whatever that moment
    And each instance gets a retry in each window

    Examples:
      | instances | slack | ratio | rate | then   |
      | 195       | 430   | 0.2   | 2.5  | go on  |
      | 195       | 430   | 0.2   | 2.5  | end    |
      | 195       | 430   | 0.2   | 2.5  | double |
      | 195       | 430   | 0.2   | 1    | go on  |
      | 195       | 430   | 0.2   | 1    | end    |
      | 195       | 430   | 0.2   | 1    | double |
      | 79        | 200   | 0.2   | 5    | go on  |
      | 79        | 200   | 0.2   | 5    | end    |
      | 79        | 200   | 0.2   | 5    | double |
      | 7         | 20    | 0.2   | 20   | go on  |
      | 7         | 20    | 0.2   | 20   | end    |
      | 7         | 20    | 0.2   | 20   | double |
      | 1         | 20    | 0.2   | 100  | go on  |
      | 1         | 20    | 0.2   | 100  | end    |
      | 1         | 20    | 0.2   | 100  | double |
